/** Call timeouts measured with the injected clock. */
import { BaseError } from '../model/errors.ts'
import type { Clock } from '../ports/clock.ts'

export const CallTimeoutError = BaseError.subclass('CallTimeoutError')

/**
 * Runs a call and rejects on timeout or when the outer signal aborts. The call may have taken effect even so.
 *
 * @example
 * await withTimeout(clock, 1_000, signal => store.get('registry', signal))
 */
export async function withTimeout<Result> (
  clock: Clock, durationMs: number, run: (signal: AbortSignal) => Promise<Result>, outer?: AbortSignal
): Promise<Result> {
  outer?.throwIfAborted()
  const abort = new AbortController()
  const onAbort = (): void => abort.abort(outer?.reason)
  outer?.addEventListener('abort', onAbort, { once: true })
  const timeout = clock.sleep(durationMs, abort.signal).then(() => {
    throw new CallTimeoutError(`no answer within ${durationMs} ms`)
  })
  try {
    return await Promise.race([run(abort.signal), timeout])
  } finally {
    outer?.removeEventListener('abort', onAbort)
    abort.abort()
  }
}
