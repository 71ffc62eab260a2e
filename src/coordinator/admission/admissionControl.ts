/** Admission control: decides when jobs beyond a team's share are refused, because they would only wait. */
import type { Clock } from '../../ports/clock.ts'

/** A job not started after this time is waiting for capacity, for its team's cap or for the coordinator. */
const LONG_WAIT_MS = 1_500
/** With this many long-waiting jobs of a team and of at least the same priority, its next job would wait as well. */
const MAX_WAITING_JOBS = 3
/** Event loop utilization above which the coordinator falls behind in bursts. */
const BUSY_UTILIZATION = 0.85
/** How long the coordinator counts as busy after a sample; longer than one sampling interval. */
const BUSY_DURATION_MS = 1_000
/** Refused callers retry after 2 to 4 s, spread to avoid synchronized retries. */
const MIN_RETRY_SECONDS = 2
const RETRY_SPREAD_SECONDS = 3

export interface WaitingJob {
  readonly team: string
  /** Of the queue; 0 is placed first. */
  readonly priority: number
  readonly waitedMs: number
}

/**
 * Tracks long-waiting jobs per team and the load of the coordinator.
 *
 * @example
 * admission.updateWaiting(jobs)
 * if (!withinShare && admission.refuses('weavers', queue.priority)) return limited(admission.retryAfterSeconds(random))
 */
export class AdmissionControl {
  readonly #clock: Clock
  /** Priorities of the long-waiting jobs, by team. */
  #waiting: ReadonlyMap<string, readonly number[]> = new Map()
  #busyUntilMs = -Infinity

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Replaces the set of jobs that have not started. */
  updateWaiting (jobs: Iterable<WaitingJob>): void {
    const waiting = new Map<string, number[]>()
    for (const { team, priority, waitedMs } of jobs) {
      if (waitedMs < LONG_WAIT_MS) continue
      const priorities = waiting.get(team) ?? []
      priorities.push(priority)
      waiting.set(team, priorities)
    }
    this.#waiting = waiting
  }

  /** Records the event loop utilization since the previous sample, from 0 to 1. */
  recordUtilization (utilization: number): void {
    if (utilization >= BUSY_UTILIZATION) this.#busyUntilMs = this.#clock.monotonicMs() + BUSY_DURATION_MS
  }

  get busy (): boolean {
    return this.#clock.monotonicMs() < this.#busyUntilMs
  }

  /** Number of the team's jobs of this or a more urgent priority that have waited longer than `LONG_WAIT_MS`. */
  waitingJobs (team: string, priority: number): number {
    return (this.#waiting.get(team) ?? []).filter(waiting => waiting <= priority).length
  }

  /** Whether jobs of the team and priority beyond its share are refused now. */
  refuses (team: string, priority: number): boolean {
    return this.busy || this.waitingJobs(team, priority) >= MAX_WAITING_JOBS
  }

  /** `random` is in [0, 1). */
  retryAfterSeconds (random: number): number {
    return MIN_RETRY_SECONDS + Math.floor(random * RETRY_SPREAD_SECONDS)
  }
}
