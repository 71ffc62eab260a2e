/** When jobs beyond a team's share are refused at once, because they would only wait. */
import type { Clock } from '../ports/clock.ts'

/** A job that has not begun after this time waits for room, for its team's cap or for the coordinator. */
const LONG_WAIT_MS = 1_500
/** So many of them show that the next job of the team would wait as well. */
const MAX_WAITING_JOBS = 3
/** Busy part of the coordinator's time from which on it falls behind in bursts. */
const BUSY_UTILIZATION = 0.85
/** For how long a busy coordinator refuses; longer than one measurement. */
const BUSY_DURATION_MS = 1_000
/** Refused callers return after 2 to 4 s, spread so that they do not come back in one wave. */
const MIN_RETRY_SECONDS = 2
const RETRY_SPREAD_SECONDS = 3

export interface WaitingJob {
  readonly team: string
  readonly waitedMs: number
}

/**
 * Follows what waits and how busy the coordinator is.
 *
 * @example
 * pressure.noteWaiting(jobs)
 * if (!withinShare && pressure.refuses('weavers')) return limited(pressure.retryAfterSeconds(random))
 */
export class AdmissionControl {
  readonly #clock: Clock
  #waiting: ReadonlyMap<string, number> = new Map()
  #busyUntilMs = -Infinity

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Notes the jobs that have not begun. */
  updateWaiting (jobs: Iterable<WaitingJob>): void {
    const waiting = new Map<string, number>()
    for (const { team, waitedMs } of jobs) {
      if (waitedMs >= LONG_WAIT_MS) waiting.set(team, (waiting.get(team) ?? 0) + 1)
    }
    this.#waiting = waiting
  }

  /** Notes the busy part of the coordinator's time since the last note, from 0 to 1. */
  recordUtilization (part: number): void {
    if (part >= BUSY_UTILIZATION) this.#busyUntilMs = this.#clock.monotonicMs() + BUSY_DURATION_MS
  }

  get busy (): boolean {
    return this.#clock.monotonicMs() < this.#busyUntilMs
  }

  /** Jobs of the team that have waited for long. */
  waitingJobs (team: string): number {
    return this.#waiting.get(team) ?? 0
  }

  /** Whether a job of the team beyond its share is refused. */
  refuses (team: string): boolean {
    return this.busy || this.waitingJobs(team) >= MAX_WAITING_JOBS
  }

  /** `random` is from 0 inclusive to 1 exclusive. */
  retryAfterSeconds (random: number): number {
    return MIN_RETRY_SECONDS + Math.floor(random * RETRY_SPREAD_SECONDS)
  }
}
