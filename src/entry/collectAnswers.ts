/** Answers calls that came together, without letting slow ones hold up the others. */
import type { TimerClock } from '../ports/clock.ts'
import type { CallerAnswer, CoordinatorAnswer } from './callerCall.ts'

/**
 * Resolves when all answers are known, at the latest after the time; the others are then under way.
 *
 * @example
 * return await collectAnswers(clock, calls.map(async call => await intake.handle(call)), 200)
 */
export async function collectAnswers (clock: TimerClock, answers: readonly Promise<CallerAnswer>[], longestMs: number): Promise<readonly CoordinatorAnswer[]> {
  return await new Promise((resolve, reject) => {
    const known: (CallerAnswer | undefined)[] = answers.map(() => undefined)
    const finish = (): void => resolve(known.map(answer => answer ?? { outcome: 'underway' }))
    const cancel = clock.schedule(longestMs, finish)
    let open = answers.length
    for (const [position, answer] of answers.entries()) {
      answer.then(value => {
        known[position] = value
        open -= 1
        if (open > 0) return
        cancel()
        finish()
      }, error => {
        cancel()
        reject(error instanceof Error ? error : new Error(String(error)))
      })
    }
  })
}
