/** Batches the calls of one instance to the coordinator, so that bursts take few requests. */
import { CallNotSentError } from './callNotSentError.ts'
import type { Clock } from '../ports/clock.ts'
import type { CallerCall, CoordinatorAnswer } from './callerCall.ts'

/** Batches per second that the coordinator accepts from all instances together; each takes 0.3 ms of processor time. */
const MAX_BATCHES_PER_SECOND = 350
/** Limits of the interval between the starts of two batches of one instance. */
const MIN_INTERVAL_MS = 30
const MAX_INTERVAL_MS = 120
const MS_PER_SECOND = 1_000
/** Calls per batch; bounds the time for which one batch occupies the coordinator. */
const MAX_BATCH_SIZE = 60
/**
 * Number of unanswered batches from which the coordinator is taken to be overloaded, or connections to be dead.
 * Without load, a batch is answered within one interval.
 */
const BACKOFF_THRESHOLD = 3
/**
 * Interval above that threshold. Fewer and larger batches take fewer connections and less of the coordinator's time,
 * and still detect soon that other connections are answered.
 */
const BACKOFF_INTERVAL_MS = 300
const MAX_BATCHES_IN_FLIGHT = 8

type SendBatch = (calls: readonly CallerCall[]) => Promise<readonly CoordinatorAnswer[]>

interface PendingCall {
  readonly call: CallerCall
  readonly expiresAtMs: number
  readonly resolve: (answer: CoordinatorAnswer) => void
  readonly reject: (error: unknown) => void
}

/**
 * A call after an idle interval is sent at once; calls that follow within the interval are sent as one batch. The
 * interval grows with the number of instances, so that the total rate of batches at the coordinator stays bounded.
 *
 * @example
 * const batcher = new CallBatcher(clock, async calls => await peer.handle(calls), () => 7)
 * const answer = await batcher.handle(call)
 */
export class CallBatcher {
  readonly #clock: Clock
  readonly #send: SendBatch
  readonly #instanceCount: () => number
  #queuedCalls: PendingCall[] = []
  readonly #sentCalls = new Set<PendingCall>()
  #batchesInFlight = 0
  #lastSentAtMs = -Infinity
  #timerActive = false

  /** `instanceCount` returns the number of instances that send batches. */
  constructor (clock: Clock, send: SendBatch, instanceCount: () => number) {
    this.#clock = clock
    this.#send = send
    this.#instanceCount = instanceCount
  }

  /** A call that waits until `expiresAtMs` rejects with `CallNotSentError`: its caller no longer waits, and it would delay others. */
  handle (call: CallerCall, expiresAtMs = Infinity): Promise<CoordinatorAnswer> {
    return new Promise((resolve, reject) => {
      this.#queuedCalls.push({ call, expiresAtMs, resolve, reject })
      this.#schedule()
    })
  }

  /** Rejects all unanswered calls, both sent and queued. */
  rejectAll (reason: string): void {
    for (const { reject } of this.#sentCalls) reject(new Error(reason))
    for (const { reject } of this.#queuedCalls) reject(new CallNotSentError(reason))
    this.#queuedCalls = []
  }

  #schedule (): void {
    if (this.#queuedCalls.length === 0 || this.#batchesInFlight >= MAX_BATCHES_IN_FLIGHT) return
    const intervalMs = this.#batchesInFlight >= BACKOFF_THRESHOLD ? BACKOFF_INTERVAL_MS : this.#intervalMs
    const waitMs = this.#lastSentAtMs + intervalMs - this.#clock.monotonicMs()
    if (waitMs <= 0) return this.#sendNext()
    if (this.#timerActive) return
    this.#timerActive = true
    // Waits no longer than the normal interval, since an answer may end the back-off meanwhile.
    this.#clock.sleep(Math.min(waitMs, this.#intervalMs)).then(() => {
      this.#timerActive = false
      this.#schedule()
    }, () => {})
  }

  get #intervalMs (): number {
    return Math.min(Math.max(MIN_INTERVAL_MS, this.#instanceCount() * MS_PER_SECOND / MAX_BATCHES_PER_SECOND), MAX_INTERVAL_MS)
  }

  #sendNext (): void {
    this.#dropExpired()
    const batch = this.#queuedCalls.splice(0, MAX_BATCH_SIZE)
    if (batch.length === 0) return
    this.#batchesInFlight += 1
    this.#lastSentAtMs = this.#clock.monotonicMs()
    this.#deliver(batch).finally(() => {
      this.#batchesInFlight -= 1
      this.#schedule()
    })
    this.#schedule()
  }

  #dropExpired (): void {
    const nowMs = this.#clock.monotonicMs()
    const expired = this.#queuedCalls.filter(({ expiresAtMs }) => expiresAtMs <= nowMs)
    if (expired.length === 0) return
    this.#queuedCalls = this.#queuedCalls.filter(({ expiresAtMs }) => expiresAtMs > nowMs)
    for (const { reject } of expired) reject(new CallNotSentError('the time of the caller has passed before the call was sent'))
  }

  async #deliver (batch: readonly PendingCall[]): Promise<void> {
    for (const sent of batch) this.#sentCalls.add(sent)
    try {
      const answers = await this.#send(batch.map(({ call }) => call))
      for (const [position, { resolve, reject }] of batch.entries()) {
        const answer = answers[position]
        if (answer === undefined) reject(new Error('the coordinator answered only some calls of the batch'))
        else resolve(answer)
      }
    } catch (error) {
      for (const { reject } of batch) reject(error)
    } finally {
      for (const sent of batch) this.#sentCalls.delete(sent)
    }
  }
}
