/** Circuit breakers for targets: takes targets that fail every start out of service and probes them. */
import type { Clock } from '../../ports/clock.ts'

/** Consecutive failed starts that open a target's breaker. */
export const FAILURES_TO_OPEN = 5
export const FIRST_PROBE_INTERVAL_MS = 5_000
export const LONGEST_PROBE_INTERVAL_MS = 300_000

/** State change that the caller must apply to the target pool. */
export type BreakerChange = 'opened' | 'closed' | 'unchanged'

interface OpenState {
  intervalMs: number
  probeAt: number
  /** Task ID of the running probe. */
  probe: string | undefined
}

interface Breaker {
  failures: number
  /** Undefined while the breaker is closed. */
  open: OpenState | undefined
}

/**
 * Counts the outcomes of starts per target. A refusal for lack of capacity or for an outdated epoch is neither a success
 * nor a failure.
 *
 * @example
 * if (breaker.recordFailure('runner-3', taskId) === 'opened') pool.setUsable('runner-3', false)
 * for (const target of breaker.dueProbes()) startProbe(target)
 */
export class TargetBreaker {
  readonly #clock: Pick<Clock, 'monotonicMs'>
  readonly #breakers = new Map<string, Breaker>()

  constructor (clock: Pick<Clock, 'monotonicMs'>) {
    this.#clock = clock
  }

  isOpen (targetId: string): boolean {
    return this.#breakers.get(targetId)?.open !== undefined
  }

  /** Records that the target started a task. Closes the breaker, whether or not the task was the probe. */
  recordSuccess (targetId: string): BreakerChange {
    const wasOpen = this.isOpen(targetId)
    this.#breakers.delete(targetId)
    return wasOpen ? 'closed' : 'unchanged'
  }

  /** Records a failed start. While the breaker is open, only the probe counts: late failures of earlier attempts are no news. */
  recordFailure (targetId: string, taskId: string): BreakerChange {
    const breaker = this.#breakers.get(targetId) ?? { failures: 0, open: undefined }
    this.#breakers.set(targetId, breaker)
    if (breaker.open !== undefined) {
      if (breaker.open.probe === taskId) this.#awaitNextProbe(breaker.open)
      return 'unchanged'
    }
    breaker.failures++
    if (breaker.failures < FAILURES_TO_OPEN) return 'unchanged'
    breaker.open = {
      intervalMs: FIRST_PROBE_INTERVAL_MS,
      probeAt: this.#clock.monotonicMs() + FIRST_PROBE_INTERVAL_MS,
      probe: undefined
    }
    return 'opened'
  }

  /** Returns the targets that may be sent one repeatable task as a probe now. */
  dueProbes (): readonly string[] {
    const now = this.#clock.monotonicMs()
    return [...this.#breakers].filter(([, { open }]) => open !== undefined && now >= open.probeAt).map(([targetId]) => targetId)
  }

  /**
   * Records that a task is sent to a target as its probe, or returns false if no probe is due. A probe without an
   * outcome counts as failed after the doubled interval.
   */
  beginProbe (targetId: string, taskId: string): boolean {
    const open = this.#breakers.get(targetId)?.open
    if (open === undefined || this.#clock.monotonicMs() < open.probeAt) return false
    open.intervalMs = Math.min(LONGEST_PROBE_INTERVAL_MS, open.intervalMs * 2)
    this.#awaitNextProbe(open)
    open.probe = taskId
    return true
  }

  /** Removes the state of a target that this instance no longer owns. */
  forget (targetId: string): void {
    this.#breakers.delete(targetId)
  }

  #awaitNextProbe (open: OpenState): void {
    open.probeAt = this.#clock.monotonicMs() + open.intervalMs
    open.probe = undefined
  }
}
