/** The limits that protect an instance from its clients. */

export interface FrontEndLimits {
  /** Bytes that open bodies, unread requests and unread answers may occupy, over all connections. */
  readonly memoryBytes: number
  readonly connections: number
  /** Time for the headers of a request, from its first byte on. */
  readonly headerTimeoutMs: number
  /** Time for the body of a request, from its headers on. */
  readonly bodyTimeoutMs: number
  /** Time for which a client may read nothing of an answer. */
  readonly answerTimeoutMs: number
  /** Time for which a connection without any request stays open. */
  readonly idleTimeoutMs: number
  /** Time for which an idle connection is not closed in favour of a new one; `DEFAULT_KEPT_IDLE_MS` unless set. */
  readonly keptIdleMs?: number
  /** Requests of one connection without a written answer; reading from it pauses at this number. */
  readonly pipelinedRequests: number
  /** Calls in progress over all connections; derived from `memoryBytes` unless set. */
  readonly calls?: number
}

/** The platform's pages allow callers connections that are idle for this time. */
export const DEFAULT_KEPT_IDLE_MS = 15_000

export const DEFAULT_FRONT_END_LIMITS: Omit<FrontEndLimits, 'memoryBytes' | 'connections'> = {
  // The platform's pages allow 3 s; a busy instance may read late.
  headerTimeoutMs: 6_000,
  bodyTimeoutMs: 30_000,
  answerTimeoutMs: 30_000,
  idleTimeoutMs: 60_000,
  pipelinedRequests: 16
}

/** For the load balancer's probes and the scrapers of metrics, which are few. A probe must not wait for idle connections. */
export const PROBE_LIMITS: FrontEndLimits = { ...DEFAULT_FRONT_END_LIMITS, memoryBytes: 2_097_152, connections: 256, keptIdleMs: 0 }

/**
 * Memory of a call that waits for its answer. Measured with 1,000 connections: 11 KB on the heap for each with one call;
 * with 16 calls on each of 300: 6 KB for each call.
 */
const CALL_BYTES = 12_288

const BYTES_PER_MB = 1_048_576
/** A process of this program has about 80 MB resident without clients, and garbage of the size of its live data. */
const MEMORY_SHARE = 0.1
/** Of the smallest known instances. */
const DEFAULT_MEMORY_MB = 160
const DEFAULT_DESCRIPTORS = 4_100
/** The rest is for targets, other instances and the store. */
const DESCRIPTOR_SHARE = 0.75

/**
 * Returns the memory and the connections that clients may use of an instance's.
 *
 * @example
 * deriveClientShare(160, 4_100) // { memoryBytes: 16_777_216, connections: 3_075 }
 */
export function deriveClientShare (memoryMb = DEFAULT_MEMORY_MB, descriptors = DEFAULT_DESCRIPTORS): Pick<FrontEndLimits, 'memoryBytes' | 'connections'> {
  return { memoryBytes: Math.floor(memoryMb * MEMORY_SHARE * BYTES_PER_MB), connections: Math.floor(descriptors * DESCRIPTOR_SHARE) }
}

/**
 * Returns how many calls may be in progress: as much memory as clients may use for bodies, input and answers. With the
 * memory of the smallest instances that is 1,365, or 450 calls a second of which each takes 3 s.
 *
 * @example
 * deriveCallLimit(16_777_216) // 1365
 */
export function deriveCallLimit (memoryBytes: number): number {
  return Math.max(1, Math.floor(memoryBytes / CALL_BYTES))
}
