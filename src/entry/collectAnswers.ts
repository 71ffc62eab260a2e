/** Collects the answers to a batch of calls without letting slow calls delay the others. */
import type { CancelTimer, TimerClock } from '../ports/clock.ts'
import type { CallerAnswer, CoordinatorAnswer } from './callerCall.ts'

/**
 * Resolves when all calls are answered, or after the time-out, with `underway` for calls that are not.
 *
 * @example
 * return await collectAnswers(clock, calls.map(async call => await intake.handle(call)), 200)
 */
export async function collectAnswers (clock: TimerClock, answers: readonly Promise<CallerAnswer>[], timeoutMs: number): Promise<readonly CoordinatorAnswer[]> {
  let cancel: CancelTimer = () => {}
  const underway = new Promise<CoordinatorAnswer>(resolve => {
    cancel = clock.schedule(timeoutMs, () => resolve({ outcome: 'underway' }))
  })
  try {
    return await Promise.all(answers.map(async answer => await Promise.race([answer, underway])))
  } finally {
    cancel()
  }
}
