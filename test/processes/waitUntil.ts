/** Waits for conditions of other processes. */
import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MS = 50
/** Generous, so that a busy machine doesn't fail a test; reaching it means that the condition never comes. */
const LIMIT_MS = 60_000

/** Repeats the question until the answer is neither undefined nor false. */
export async function waitUntil<Answer> (what: string, ask: () => Promise<Answer | undefined | false> | Answer | undefined | false, limitMs = LIMIT_MS): Promise<Answer> {
  const until = Date.now() + limitMs
  let lastError: unknown
  while (Date.now() < until) {
    try {
      const answer = await ask()
      if (answer !== undefined && answer !== false) return answer
      lastError = undefined
    } catch (error) {
      lastError = error
    }
    await sleep(POLL_MS)
  }
  // The TAP reporter prints no causes.
  throw new Error(`never came true: ${what}${lastError === undefined ? '' : ` (last error: ${String(lastError)})`}`, { cause: lastError })
}
