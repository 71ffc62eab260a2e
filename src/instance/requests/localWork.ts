/** A request on its way through the scheduler of the instance that owns its targets. */
import type { WorkRequest } from '../../model/request.ts'
import type { RunEvent } from '../../ports/peerClient.ts'

export interface LocalWork {
  /** Unique for each attempt: `<flight>.<number>`, with another number for each instance that forwards. */
  readonly attemptId: string
  readonly team: string
  readonly request: WorkRequest
  /** Monotonic time of the deadline. */
  readonly deadlineAt: number
  readonly signal: AbortSignal
  onStateChange (state: 'claiming' | 'running', target: string): void
}

/**
 * The holder of claims: the flight of the first entry instance, which is the same for all attempts at one request.
 *
 * @example
 * claimHolder('f3a9.2.1') // 'f3a9'
 */
export function claimHolder (attemptId: string): string {
  return attemptId.slice(0, attemptId.indexOf('.'))
}

/** The events of a small answer that is complete. */
export function * createCompleteAnswer (target: string, contentType: string, bytes: Uint8Array): Iterable<RunEvent> {
  yield { type: 'head', target, contentType }
  yield { type: 'chunk', bytes }
  yield { type: 'end', byteCount: bytes.byteLength }
}
