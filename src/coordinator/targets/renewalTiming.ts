/** Decides when the next renewal of a target session is sent, and how long the target may delay its answer. */
import type { Clock } from '../../ports/clock.ts'
import type { AssignedRuns } from './assignedRuns.ts'
import type { RunEndNumbers } from './runEndNumbers.ts'
import type { StartsInTransit } from './startsInTransit.ts'
import type { TargetCapacity } from './targetCapacity.ts'

/** Longest time a renewal waits for a run to end; also bounds the age of a target's state. */
const RENEW_WAIT_MS = 1_000
/** Used while run ends are being stored, while starts and stops are unconfirmed, or while it is not known which incarnation executed a start. */
export const SHORT_RENEW_WAIT_MS = 100
/** About as long as a start and its answer take within a data centre. */
const STARTS_POLL_MS = 10

export interface RenewalTimingOptions {
  readonly clock: Clock
  readonly ends: RunEndNumbers
  readonly starts: StartsInTransit
  readonly capacity: TargetCapacity
  readonly runs: AssignedRuns
}

/**
 * @example
 * const timing = new RenewalTiming(options)
 * await timing.untilDue()
 * await client.renew({ fencingToken, acknowledged, waitMs: timing.waitMs() })
 */
export class RenewalTiming {
  readonly #options: RenewalTimingOptions

  constructor (options: RenewalTimingOptions) {
    this.#options = options
  }

  /** Waits for a short time until no start is in transit if the renewal is to acknowledge run ends, which it could not before. */
  async untilDue (): Promise<void> {
    const { clock, ends, starts } = this.#options
    const untilMs = clock.monotonicMs() + SHORT_RENEW_WAIT_MS
    while (ends.owesAcknowledgement && starts.any && clock.monotonicMs() < untilMs) await clock.sleep(STARTS_POLL_MS)
  }

  /** How long the target may delay its answer, in milliseconds. */
  waitMs (): number {
    const { clock, ends, starts, capacity, runs } = this.#options
    if (ends.hasPendingStores || capacity.hasUnexpectedRuns) return SHORT_RENEW_WAIT_MS
    const nowMs = clock.monotonicMs()
    let waitMs = RENEW_WAIT_MS
    for (const assignment of [...runs.byKey.values(), ...runs.held]) {
      const { state } = assignment
      if (state === 'unconfirmed' || assignment.isExecutorUnknown) return SHORT_RENEW_WAIT_MS
      // A report is evidence that the run is missing from when its start can not be executed any more.
      if (state === 'stopping' || state === 'recovering' || state === 'held') waitMs = Math.min(waitMs, Math.max(SHORT_RENEW_WAIT_MS, starts.latestExecutionMs(assignment) - nowMs + 1))
    }
    return waitMs
  }
}
