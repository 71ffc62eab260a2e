/** Repeats a call whose answer is late beside the earlier tries, until one of them tells the outcome. */
import type { CancelTimer, TimerClock } from '../ports/clock.ts'

export interface RepeatedCall<Outcome> {
  /** One try; undefined if it failed and its outcome is not known. Must be safe to carry out several times. */
  readonly attempt: () => Promise<Outcome | undefined>
  /** Without an answer for this time another try is begun; doubles with each one. */
  readonly patienceMs: number
  /** Before the next try after one that failed. */
  readonly retryDelayMs: number
  /** Whether nobody needs the outcome any more. */
  readonly isOver: () => boolean
}

/**
 * Resolves with the first outcome that is known; undefined if nobody needs it any more.
 *
 * @example
 * await repeatUntilKnown(clock, { attempt: () => tryCommit(), patienceMs: 150, retryDelayMs: 60, isOver: () => closed })
 */
export async function repeatUntilKnown<Outcome> (clock: TimerClock, call: RepeatedCall<Outcome>): Promise<Outcome | undefined> {
  let cancelNext: CancelTimer = () => {}
  let isKnown = false
  try {
    return await new Promise((resolve, reject) => {
      const scheduleTry = (delayMs: number, patienceMs: number): void => {
        if (isKnown) return
        cancelNext()
        cancelNext = clock.schedule(delayMs, () => beginTry(patienceMs))
      }
      const beginTry = (patienceMs: number): void => {
        if (call.isOver()) return resolve(undefined)
        scheduleTry(patienceMs, patienceMs * 2)
        call.attempt().then(outcome => {
          if (outcome === undefined) scheduleTry(call.retryDelayMs, call.patienceMs)
          else resolve(outcome)
        }, reject)
      }
      beginTry(call.patienceMs)
    })
  } finally {
    isKnown = true
    cancelNext()
  }
}
