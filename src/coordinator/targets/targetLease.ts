/** Decides when the leases on a target may be extended, and when all of them have ended. */
import type { Clock } from '../../ports/clock.ts'
import { RECENT_REPORT_AGE_MS, MAX_SILENCE_FOR_EXTENSION_MS } from './targetContact.ts'
import type { TargetContact } from './targetContact.ts'

/** Target clocks, by which leases are measured, run up to 2% slow; half as much again is added as a margin. */
const CLOCK_DRIFT_FACTOR = 1.03
const LEASE_MARGIN_MS = 300
/** The next incarnation shortens a lease of the earlier one's clock to the longest that targets give, half a second more than is asked for. */
const NEXT_INCARNATION_LEASE_FACTOR = 1.1

export interface TargetLeaseOptions {
  readonly clock: Clock
  readonly leaseMs: number
  /** Whether this coordinator may send requests now. */
  readonly hasAuthority: () => boolean
  /** Whether another incarnation of the target may be later. */
  readonly isReplaced: () => boolean
  /** Latest time at which an earlier coordinator may have extended leases on the target. */
  readonly priorLeasesExtendedUntilMs: number
}

/**
 * @example
 * const lease = new TargetLease(options, contact)
 * await client.renew({ fencingToken, acknowledged: 0, leaseUntilTargetMs: lease.extend(), waitMs: 0 })
 */
export class TargetLease {
  readonly #options: TargetLeaseOptions
  readonly #contact: TargetContact
  #lastExtensionMs: number

  constructor (options: TargetLeaseOptions, contact: TargetContact) {
    this.#options = options
    this.#contact = contact
    this.#lastExtensionMs = options.priorLeasesExtendedUntilMs
  }

  /** Extends the lease and returns its end on the target's clock; undefined while leases must not be extended. */
  extend (): number | undefined {
    const { clock, leaseMs, hasAuthority, isReplaced } = this.#options
    const { clockOffsetMs, mayHaveRestarted } = this.#contact
    // Read before the authority is checked, so that a pause between the two shortens the lease.
    const nowMs = clock.monotonicMs()
    if (clockOffsetMs === undefined || mayHaveRestarted || !hasAuthority()) return undefined
    // The next incarnation would take the time of the earlier one's clock for a time of its own.
    const maximumSilenceMs = isReplaced() ? RECENT_REPORT_AGE_MS : MAX_SILENCE_FOR_EXTENSION_MS
    if (this.#contact.reportAgeMs(nowMs) > maximumSilenceMs) return undefined
    this.#lastExtensionMs = Math.max(this.#lastExtensionMs, nowMs)
    return Math.floor(nowMs + clockOffsetMs + leaseMs)
  }

  /** Time by which all leases on the target have certainly expired if it is never reached again. */
  get allEndedMs (): number {
    return this.#lastExtensionMs + this.#options.leaseMs * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS
  }

  /** Longest time for which the next incarnation keeps a run alive that was requested from this one. */
  get longestOnNextIncarnationMs (): number {
    return this.#options.leaseMs * NEXT_INCARNATION_LEASE_FACTOR
  }
}
