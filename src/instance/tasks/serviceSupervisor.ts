/** Restarts services whose task failed or whose lease ended, for example because the worker failed. */
import { randomUUID } from 'node:crypto'
import type { Clock } from '../../ports/clock.ts'
import type { Random } from '../../ports/random.ts'
import type { RunEvent } from '../../ports/peerClient.ts'
import { computeBackoff } from '../../scheduler/retries/backoff.ts'
import type { DispatchContext } from '../requests/dispatcher.ts'
import type { LocalWork } from '../requests/localWork.ts'
import type { TaskEnd } from './taskTracker.ts'

/** Deadline of one restart attempt; an attempt that is not placed by then is retried. */
const RESTART_DEADLINE_MS = 60_000

export interface ServiceSupervisorDependencies {
  readonly clock: Clock
  readonly random: Random
  run (context: DispatchContext): AsyncIterable<RunEvent>
  isDraining (): boolean
  onRestart (work: LocalWork, end: TaskEnd): void
}

export class ServiceSupervisor {
  readonly #dependencies: ServiceSupervisorDependencies
  /** Supervised services; the value turns false when a caller cancels the service. */
  readonly #watched = new Map<string, boolean>()

  constructor (dependencies: ServiceSupervisorDependencies) {
    this.#dependencies = dependencies
  }

  /** Supervises the task of a service. Only repeatable services are restarted, since a restart is a second run. */
  watch (work: LocalWork, ended: Promise<TaskEnd>): void {
    if (work.request.kind !== 'service' || !work.request.repeatable) return
    const key = serviceKey(work.team, work.request.id)
    this.#watched.set(key, true)
    ended.then(async end => {
      if (this.#watched.get(key) === true && endedByFailure(end)) {
        this.#dependencies.onRestart(work, end)
        await this.#restart(work, key)
      }
      this.#watched.delete(key)
    }).catch(() => {})
  }

  /** Prevents further restarts of the service. */
  cancel (team: string, requestId: string): void {
    const key = serviceKey(team, requestId)
    if (this.#watched.has(key)) this.#watched.set(key, false)
  }

  /** Retries until the service has started; the instance that starts it supervises it from then on. */
  async #restart (work: LocalWork, key: string): Promise<void> {
    const { clock, random } = this.#dependencies
    for (let attempt = 1; !this.#dependencies.isDraining() && this.#watched.get(key) === true; attempt++) {
      if (await this.#start(work)) return
      await clock.sleep(computeBackoff(attempt, random))
    }
  }

  async #start (work: LocalWork): Promise<boolean> {
    const { clock } = this.#dependencies
    const { team, request } = work
    const context: DispatchContext = {
      admitted: { team, request, deadlineAt: clock.monotonicMs() + RESTART_DEADLINE_MS },
      attemptIdPrefix: randomUUID(),
      hops: 0,
      signal: new AbortController().signal,
      onStateChange: () => {}
    }
    try {
      for await (const event of this.#dependencies.run(context)) if (event.type === 'end') return true
    } catch {
      // `#restart` retries after a backoff.
    }
    return false
  }
}

function serviceKey (team: string, requestId: string): string {
  return `${team}\n${requestId}`
}

function endedByFailure (end: TaskEnd): boolean {
  return end.outcome === 'ended' && (end.state === 'failed' || end.state === 'lease-ended')
}
