/** Polls conditions that depend on other processes. */
import { setTimeout as sleep } from 'node:timers/promises'

const POLL_INTERVAL_MS = 50
/** Long enough that a busy machine does not fail a test; when it expires, the condition is not going to be met. */
const TIMEOUT_MS = 60_000

/** Polls until the result is neither undefined nor false, and returns it. */
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
  // The message includes the last error because the TAP reporter does not print causes.
  throw new Error(`timed out waiting until ${condition}${lastError === undefined ? '' : ` (last error: ${String(lastError)})`}`, { cause: lastError })
}
