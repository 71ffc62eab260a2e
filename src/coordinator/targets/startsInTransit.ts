/** Tracks the start requests to one target that any of its incarnations may still execute. */
import type { Clock } from '../../ports/clock.ts'
import type { TargetReport } from '../../ports/jobTarget.ts'
import { runKey } from './assignment.ts'
import type { Assignment } from './assignment.ts'

/**
 * Longest time from when a request was given up until a target executes it: 12 s at the target according to the platform's
 * list of faults, after 0.7 s in a relay and the 2.2 s for which the longest call waits.
 */
export const MAX_REQUEST_DELAY_MS = 15_000
/** Longest time until a request is answered or given up, also through a relay. */
const MAX_CALL_MS = 3_000

/** Latest time at which a request may be executed that is sent at the given time. */
export function latestExecutionIfSentAt (sentMs: number): number {
  return sentMs + MAX_CALL_MS + MAX_REQUEST_DELAY_MS
}

/** A start that no coordinator will send again, and that may still be executed. */
export interface ExpiringStartRequest {
  readonly assignment: Assignment
  readonly latestExecutionMs: number
}

interface StartInTransit {
  /** Latest time at which the start may be executed. */
  readonly latestExecutionMs: number
  /** Whether the start has not been answered yet, nor given up. */
  readonly isAwaited: boolean
  /** Latest time at which a renewal, or a start that is settled, may extend the leases of its target after the start was executed. */
  latestExtensionMs: number
  /** Whether a report has shown that the start has no run, and will have none. */
  isRuledOut: boolean
}

/**
 * A start is in transit until it is answered, until a report shows its run, or until it can not be executed any more.
 * Its task must not be placed again meanwhile, since the run may begin at any time. Shared by the sessions of all
 * incarnations of a target: one that restarts executes requests that were meant for its earlier incarnation.
 *
 * @example
 * const starts = new StartsInTransit(clock)
 * starts.recordSent(assignment, ticket.expiredByMs)
 * const { outcome } = await client.start(order)
 * if (outcome === 'unknown') starts.recordUnanswered(assignment)
 * else starts.recordSettled(assignment)
 */
export class StartsInTransit {
  readonly #clock: Clock
  readonly #starts = new Map<Assignment, StartInTransit>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Records that a start is sent, which extends the leases of the target like a renewal; a target refuses it once its ticket has expired. */
  recordSent (assignment: Assignment, ticketExpiredByMs = Infinity): void {
    const latestMs = Math.min(this.#latestExecutionOfNextMs, ticketExpiredByMs)
    this.#starts.set(assignment, { latestExecutionMs: latestMs, isAwaited: true, latestExtensionMs: -Infinity, isRuledOut: false })
  }

  /**
   * Records a start that an earlier coordinator may have sent, and that can not be executed after the given time. Up to
   * `latestExtensionMs`, requests of earlier coordinators may extend the leases of its target.
   */
  recordRecovered (assignment: Assignment, latestExecutionMs: number, latestExtensionMs: number): void {
    this.#starts.set(assignment, { latestExecutionMs, isAwaited: false, latestExtensionMs, isRuledOut: false })
  }

  /** Records that a start was given up without an answer. */
  recordUnanswered (assignment: Assignment): void {
    this.#limitExecution(assignment, this.#clock.monotonicMs() + MAX_REQUEST_DELAY_MS)
  }

  /** Records that a start was executed, possibly by a later incarnation than the one that it was meant for. */
  recordExecuted (assignment: Assignment): void {
    this.#limitExecution(assignment, this.#clock.monotonicMs())
  }

  #limitExecution (assignment: Assignment, latestMs: number): void {
    const start = this.#starts.get(assignment)
    if (start !== undefined) this.#starts.set(assignment, { ...start, latestExecutionMs: Math.min(start.latestExecutionMs, latestMs), isAwaited: false })
  }

  /** The starts that were given up, or that earlier coordinators may have sent. */
  get expiring (): readonly ExpiringStartRequest[] {
    return [...this.#starts].flatMap(([assignment, { isAwaited, latestExecutionMs }]) => isAwaited ? [] : { assignment, latestExecutionMs })
  }

  /**
   * Records a report of any incarnation that was requested at the given time. A start that could not be executed any more by then,
   * and whose run it does not show, has no run on that incarnation, nor on a later one.
   */
  recordReport ({ running, finished, mayOmitFinished }: TargetReport, requestedMs: number): void {
    if (this.#starts.size === 0 || mayOmitFinished) return
    const shown = new Set([...running, ...finished].map(({ task, attempt }) => runKey(task, attempt)))
    for (const [assignment, start] of this.#starts) {
      if (!start.isAwaited && start.latestExecutionMs < requestedMs && !shown.has(assignment.key)) start.isRuledOut = true
    }
  }

  /** Whether a report has shown that the start has no run, and will have none. */
  isRuledOut (assignment: Assignment): boolean {
    return this.#starts.get(assignment)?.isRuledOut === true
  }

  /** Records that a start was refused, or that its run is known. */
  recordSettled (assignment: Assignment): void {
    const settled = this.#starts.get(assignment)
    this.#starts.delete(assignment)
    if (settled !== undefined) this.#recordExtension(settled.latestExecutionMs)
  }

  /** Records that a request is sent which extends the leases of the target, and thereby of a run that has been started meanwhile. */
  recordLeaseExtension (): void {
    this.#recordExtension(this.#latestExecutionOfNextMs)
  }

  /** Whether any start to the target may still be executed. */
  get any (): boolean {
    return this.mayBeExecutedSince(this.#clock.monotonicMs())
  }

  /** Whether a start to the target may have been executed at the given time or later, by an incarnation that is not known. */
  mayBeExecutedSince (timeMs: number): boolean {
    for (const { latestExecutionMs } of this.#starts.values()) {
      if (latestExecutionMs >= timeMs) return true
    }
    return false
  }

  #recordExtension (latestMs: number): void {
    for (const start of this.#starts.values()) start.latestExtensionMs = Math.max(start.latestExtensionMs, latestMs)
  }

  get #latestExecutionOfNextMs (): number {
    return latestExecutionIfSentAt(this.#clock.monotonicMs())
  }

  /** Latest time at which the start may be executed; in the past if it is not in transit. */
  latestExecutionMs (assignment: Assignment): number {
    return this.#starts.get(assignment)?.latestExecutionMs ?? -Infinity
  }

  /** Latest time at which the lease of a run of the start may be extended, by the start itself or by another request. */
  latestExtensionMs (assignment: Assignment): number {
    const start = this.#starts.get(assignment)
    if (start === undefined) return -Infinity
    // Starts share a fencing token, so that each may be executed after the others, whichever was sent first.
    return Math.max(start.latestExtensionMs, ...[...this.#starts.values()].map(({ latestExecutionMs }) => latestExecutionMs))
  }
}
