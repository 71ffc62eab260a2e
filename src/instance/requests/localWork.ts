/** One attempt at a request, run on the targets that this instance owns. */
import type { WorkRequest } from '../../model/request.ts'
import type { RunEvent } from '../../ports/peerClient.ts'

export interface LocalWork {
  /** Unique for each attempt: `<prefix>.<number>`, with a further number for each instance that forwards the request. */
  readonly attemptId: string
  readonly team: string
  readonly request: WorkRequest
  /** Hops that the request has taken, as counted by the router. */
  readonly hops: number
  /** Monotonic time of the deadline. */
  readonly deadlineAt: number
  readonly signal: AbortSignal
  onStateChange (state: 'claiming' | 'running', target: string): void
}

/**
 * The holder of a claim: the part of the attempt ID that the first instance chose, common to all attempts at the request.
 *
 * @example
 * claimHolder('f3a9.2.1') // 'f3a9'
 */
export function claimHolder (attemptId: string): string {
  return attemptId.slice(0, attemptId.indexOf('.'))
}

/** The events of a complete answer with a single chunk. */
export function * createCompleteAnswer (target: string, contentType: string, bytes: Uint8Array): Iterable<RunEvent> {
  yield { type: 'head', target, contentType }
  yield { type: 'chunk', bytes }
  yield { type: 'end', byteCount: bytes.byteLength }
}
