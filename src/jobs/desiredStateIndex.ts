/** Lookups in one version of the desired state. */
import type { DesiredState, QueueSettings, TeamSettings } from './desiredState.ts'

/** The queues of one host. */
interface HostQueues {
  readonly byPrefix: Map<string, QueueSettings>
  /** Distinct lengths of the prefixes, longest first. */
  prefixLengths: readonly number[]
}

/**
 * Built once for each version, so that a call costs the same with ten queues and with thousands.
 *
 * @example
 * const index = new DesiredStateIndex(state)
 * const queue = index.findQueue('orders.example', '/stock/5c0e')
 */
export class DesiredStateIndex {
  readonly #hosts = new Map<string, HostQueues>()
  readonly #queuesByName: ReadonlyMap<string, QueueSettings>
  readonly #teamsByName: ReadonlyMap<string, TeamSettings>
  readonly #teamsByKey = new Map<string, TeamSettings>()

  constructor ({ queues, teams }: DesiredState) {
    this.#queuesByName = new Map(queues.map(queue => [queue.name, queue]))
    this.#teamsByName = new Map(teams.map(team => [team.name, team]))
    for (const queue of queues) this.#addQueue(queue)
    for (const team of teams) {
      for (const key of team.keys) if (!this.#teamsByKey.has(key)) this.#teamsByKey.set(key, team)
    }
    for (const host of this.#hosts.values()) {
      host.prefixLengths = [...new Set([...host.byPrefix.keys()].map(({ length }) => length))].sort((left, right) => right - left)
    }
  }

  /** Returns the queue of the host whose prefix is the longest match for the path. */
  findQueue (host: string, path: string): QueueSettings | undefined {
    const queues = this.#hosts.get(host)
    for (const length of queues?.prefixLengths ?? []) {
      const queue = length > path.length ? undefined : queues?.byPrefix.get(path.slice(0, length))
      if (queue !== undefined) return queue
    }
    return undefined
  }

  /** Returns the team that the key belongs to. */
  findTeam (key: string): TeamSettings | undefined {
    return this.#teamsByKey.get(key)
  }

  queue (name: string): QueueSettings | undefined {
    return this.#queuesByName.get(name)
  }

  team (name: string): TeamSettings | undefined {
    return this.#teamsByName.get(name)
  }

  #addQueue (queue: QueueSettings): void {
    const host = this.#hosts.get(queue.host) ?? { byPrefix: new Map<string, QueueSettings>(), prefixLengths: [] }
    this.#hosts.set(queue.host, host)
    if (!host.byPrefix.has(queue.pathPrefix)) host.byPrefix.set(queue.pathPrefix, queue)
  }
}
