/** Connections to the store, the targets and the advisor of the platform. */
import { HttpCaller } from '../adapters/http/httpCaller.ts'
import type { TimerClock } from '../ports/clock.ts'

/** A connection within and between regions takes 41 ms at most. */
const CONNECT_TIMEOUT_MS = 800
/** Longer than any pause between two calls. */
const IDLE_CONNECTION_MS = 30_000

/**
 * Creates the caller of one address; `connections` bounds those open at the same time.
 *
 * @example
 * const caller = createPlatformCaller('10.200.1.7:8182', clock)
 */
export function createPlatformCaller (address: string, clock: TimerClock, connections?: number): HttpCaller {
  return new HttpCaller({ address, clock, connections, connectTimeoutMs: CONNECT_TIMEOUT_MS, idleConnectionMs: IDLE_CONNECTION_MS })
}
