/** Repeats a call whose answer is late beside the earlier tries, until one of them tells the outcome. */
import type { CancelTimer, TimerClock } from '../ports/clock.ts'

export interface RetriedCall<Outcome> {
  /** One try; undefined if it failed and its outcome is not known. Must be safe to carry out several times. */
  readonly attempt: () => Promise<Outcome | undefined>
  /** Without an answer for this time another try is begun; doubles with each one. */
  readonly answerTimeoutMs: number
  /** Before the next try after one that failed. */
  readonly retryDelayMs: number
  /** Whether nobody needs the outcome any more. */
  readonly isCancelled: () => boolean
}

/**
 * Resolves with the first outcome that is known; undefined if nobody needs it any more.
 *
 * @example
 * await repeatUntilKnown(clock, { attempt: () => tryCommit(), patienceMs: 150, retryDelayMs: 60, isOver: () => closed })
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
