/** The operations of an instance that the caller-facing server uses. */
import type { RequestStatus, RunEvent } from './peerClient.ts'

/** Calls reject with `RefusalError`. */
export interface CallerHandler {
  /** Runs a request given as parsed JSON, and cancels it when the signal aborts. */
  run (key: string | undefined, body: unknown, signal: AbortSignal): AsyncIterable<RunEvent>
  cancel (key: string | undefined, requestId: string): Promise<boolean>
  find (key: string | undefined, requestId: string): Promise<readonly RequestStatus[]>
}
