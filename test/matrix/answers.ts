/** Reads a streamed answer as the caller's connection delivers it. */
import { RefusalError } from '../../src/model/errors.ts'
import type { RunEvent } from '../../src/ports/peerClient.ts'
import type { Outcome } from './observations.ts'

/** Returns the outcome that the caller observes; a failure after the head appears as a reset connection. */
export async function collectAnswer (events: AsyncIterable<RunEvent>, onStep: (step: 'answer' | 'release') => void): Promise<Outcome> {
  let headReceived = false
  let body = ''
  try {
    for await (const event of events) {
      if (event.type === 'refused') throw new RefusalError(event.message, event)
      if (event.type === 'head') {
        headReceived = true
        onStep('answer')
      }
      if (event.type === 'chunk') body += Buffer.from(event.bytes).toString()
      if (event.type !== 'end') continue
      onStep('release')
      return { type: 'answered', body, announcedBytes: event.byteCount }
    }
    return { type: 'reset', reason: 'the stream ended without an end event' }
  } catch (error) {
    if (error instanceof RefusalError && !headReceived) return { type: 'refused', verdict: error.verdict, code: error.code, message: error.message }
    return { type: 'reset', reason: String(error) }
  }
}
