/** Takes targets that fail every start out of use and probes them. */
import type { Clock } from '../../ports/clock.ts'

/** Failed starts in a row that take a target out of use. */
export const FAILURES_TO_OPEN = 5
export const FIRST_PROBE_INTERVAL_MS = 5_000
export const LONGEST_PROBE_INTERVAL_MS = 300_000

/** What the caller has to tell the target pool. */
export type BreakerChange = 'opened' | 'closed' | 'unchanged'

interface OpenState {
  intervalMs: number
  probeAt: number
  /** Task identity of the probe that runs. */
  probe: string | undefined
}

interface Breaker {
  failures: number
  /** Undefined while the target is in use. */
  open: OpenState | undefined
}

/**
 * Counts the outcomes of starts by target. A refusal for capacity or an old epoch is neither a success nor a failure.
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

  /** The target started a task; this closes the breaker, whether or not the task was the probe. */
  recordSuccess (targetId: string): BreakerChange {
    const wasOpen = this.isOpen(targetId)
    this.#breakers.delete(targetId)
    return wasOpen ? 'closed' : 'unchanged'
  }

  /** A start failed. While the target is out of use only its probe counts: earlier attempts say nothing new. */
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

  /** Targets that may be given one repeatable task now. */
  dueProbes (): readonly string[] {
    const now = this.#clock.monotonicMs()
    return [...this.#breakers].filter(([, { open }]) => open !== undefined && now >= open.probeAt).map(([targetId]) => targetId)
  }

  /**
   * Notes that a task goes to a target as its probe; false if none is due. A probe without an outcome counts as
   * failed once the doubled interval has passed.
   */
  beginProbe (targetId: string, taskId: string): boolean {
    const open = this.#breakers.get(targetId)?.open
    if (open === undefined || this.#clock.monotonicMs() < open.probeAt) return false
    open.intervalMs = Math.min(LONGEST_PROBE_INTERVAL_MS, open.intervalMs * 2)
    this.#awaitNextProbe(open)
    open.probe = taskId
    return true
  }

  /** Forgets a target that this instance no longer owns. */
  forget (targetId: string): void {
    this.#breakers.delete(targetId)
  }

  #awaitNextProbe (open: OpenState): void {
    open.probeAt = this.#clock.monotonicMs() + open.intervalMs
    open.probe = undefined
  }
}
