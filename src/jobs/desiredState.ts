/** What the operators want: queues, services, teams and their limits. */
import type { Resources } from '../model/resources.ts'

export interface QueueSettings {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly service: string
  /** 0 comes first. */
  readonly priority: number
  /** Runs of a task, or of a gang, that may fail before its job has failed. */
  readonly maximumFailures: number
  /** The objective is the job's longest chain of work times this factor, and `latencyObjectiveMs` more. */
  readonly stretchFactor: number
  readonly latencyObjectiveMs: number
  readonly timeoutMs: number
  /** Calls need no key. */
  readonly anonymous: boolean
  readonly advice?: AdviceSettings
}

export interface AdviceSettings {
  readonly decisionMs: number
  readonly perTargetMs: number
  readonly ticketValidityMs: number
}

export interface TeamSettings {
  readonly name: string
  readonly keys: readonly string[]
  /** Share of the cluster when it is full; also the jobs a second that the team is owed. */
  readonly weight: number
  /** Upper limit over all targets; 0 is no limit. */
  readonly cap: Resources
}

export interface DesiredState {
  readonly version: number
  readonly queues: readonly QueueSettings[]
  /** Names of the services; those on standby have no targets in use. */
  readonly services: readonly string[]
  readonly teams: readonly TeamSettings[]
  readonly maximumBodyBytes: number
}

/** The state as it is stored, to be passed on to instances that can not read the store. */
export interface VersionedText {
  readonly version: number
  readonly text: string
}

/**
 * Selects the queue with the longest prefix of the path.
 *
 * @example
 * findQueue(state, 'orders.example', '/stock/5c0e')
 */
export function findQueue (state: DesiredState, host: string, path: string): QueueSettings | undefined {
  let best: QueueSettings | undefined
  for (const queue of state.queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue
    if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length) best = queue
  }
  return best
}

/** Finds the team that holds the key. */
export function findTeam (state: DesiredState, key: string): TeamSettings | undefined {
  return state.teams.find(team => team.keys.includes(key))
}
