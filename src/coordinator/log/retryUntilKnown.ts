/** Retries a call in parallel with its unanswered attempts, until one of them returns a known outcome. */
import type { CancelTimer, TimerClock } from '../../ports/clock.ts'

export interface RetriedCall<Outcome> {
  /** One attempt; resolves with undefined if it failed with an unknown outcome. Must be idempotent. */
  readonly attempt: () => Promise<Outcome | undefined>
  /** Time without an answer after which another attempt starts; doubles with each attempt. */
  readonly answerTimeoutMs: number
  /** Delay before the next attempt after a failed one. */
  readonly retryDelayMs: number
  /** Whether the outcome is no longer needed. */
  readonly isCancelled: () => boolean
}

/**
 * Resolves with the first known outcome, or with undefined if it is no longer needed.
 *
 * @example
 * await retryUntilKnown(clock, { attempt: () => tryCommit(), answerTimeoutMs: 150, retryDelayMs: 60, isCancelled: () => closed })
 */
export async function retryUntilKnown<Outcome> (clock: TimerClock, call: RetriedCall<Outcome>): Promise<Outcome | undefined> {
  let cancelNext: CancelTimer = () => {}
  let isKnown = false
  try {
    return await new Promise((resolve, reject) => {
      const scheduleAttempt = (delayMs: number, answerTimeoutMs: number): void => {
        if (isKnown) return
        cancelNext()
        cancelNext = clock.schedule(delayMs, () => startAttempt(answerTimeoutMs))
      }
      const startAttempt = (answerTimeoutMs: number): void => {
        if (call.isCancelled()) return resolve(undefined)
        scheduleAttempt(answerTimeoutMs, answerTimeoutMs * 2)
        call.attempt().then(outcome => {
          if (outcome === undefined) scheduleAttempt(call.retryDelayMs, call.answerTimeoutMs)
          else resolve(outcome)
        }, reject)
      }
      startAttempt(call.answerTimeoutMs)
    })
  } finally {
    isKnown = true
    cancelNext()
  }
}
