/** Waits for conditions of other processes. */
import { setTimeout as sleep } from 'node:timers/promises'

const POLL_INTERVAL_MS = 50
/** Generous, so that a busy machine doesn't fail a test; reaching it means that the condition never comes. */
const TIMEOUT_MS = 60_000

/** Repeats the question until the answer is neither undefined nor false. */
export async function waitUntil<Answer> (condition: string, poll: () => Promise<Answer | undefined | false> | Answer | undefined | false, timeoutMs = TIMEOUT_MS): Promise<Answer> {
  const deadline = Date.now() + timeoutMs
  let lastError: unknown
  while (Date.now() < deadline) {
    try {
      const answer = await poll()
      if (answer !== undefined && answer !== false) return answer
      lastError = undefined
    } catch (error) {
      lastError = error
    }
    await sleep(POLL_INTERVAL_MS)
  }
  // The TAP reporter prints no causes.
  throw new Error(`never came true: ${condition}${lastError === undefined ? '' : ` (last error: ${String(lastError)})`}`, { cause: lastError })
}
