/** Sends the calls of one instance to the coordinator together, so that bursts cost it few requests. */
import type { Clock } from '../ports/clock.ts'
import type { CallerCall, CoordinatorAnswer } from './callerCall.ts'

/** Batches of all instances together that a coordinator takes in a second, at 0.3 ms of processor each. */
const MAX_BATCHES_PER_SECOND = 350
/** Shortest and longest time between the beginnings of two batches of one instance. */
const MIN_INTERVAL_MS = 30
const MAX_INTERVAL_MS = 120
const MS_PER_SECOND = 1_000
/** Bounds the time that one batch keeps the coordinator from other work. */
const MAX_BATCH_SIZE = 60
/**
 * From this number of batches without an answer on, the coordinator has fallen behind, or connections have gone silent.
 * A calm batch is answered within an interval.
 */
const BACKOFF_THRESHOLD = 3
/**
 * Interval of batches from then on: calls gather into fewer and larger batches, which cost the coordinator fewer
 * connections and less time, and still find out soon that other connections are answered.
 */
const BACKOFF_INTERVAL_MS = 300
/** Batches without an answer at the same time at most. */
const MAX_BATCHES_IN_FLIGHT = 8

type SendBatch = (calls: readonly CallerCall[]) => Promise<readonly CoordinatorAnswer[]>

interface PendingCall {
  readonly call: CallerCall
  readonly resolve: (answer: CoordinatorAnswer) => void
  readonly reject: (error: unknown) => void
}

/**
 * A call after a pause is sent at once; calls that follow within the interval go together. The interval grows with
 * the number of instances, so that the coordinator's work for batches does not.
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

  /** `instances` is the number of instances that send batches. */
  constructor (clock: Clock, send: SendBatch, instanceCount: () => number) {
    this.#clock = clock
    this.#send = send
    this.#instanceCount = instanceCount
  }

  handle (call: CallerCall): Promise<CoordinatorAnswer> {
    return new Promise((resolve, reject) => {
      this.#queuedCalls.push({ call, resolve, reject })
      this.#schedule()
    })
  }

  /** Fails all calls that are not answered, without waiting for an answer any more. */
  rejectAll (reason: string): void {
    for (const { reject } of [...this.#sentCalls, ...this.#queuedCalls]) reject(new Error(reason))
    this.#queuedCalls = []
  }

  #schedule (): void {
    if (this.#queuedCalls.length === 0 || this.#batchesInFlight >= MAX_BATCHES_IN_FLIGHT) return
    const intervalMs = this.#batchesInFlight >= BACKOFF_THRESHOLD ? BACKOFF_INTERVAL_MS : this.#intervalMs
    const waitMs = this.#lastSentAtMs + intervalMs - this.#clock.monotonicMs()
    if (waitMs <= 0) return this.#sendNext()
    if (this.#timerActive) return
    this.#timerActive = true
    // An answer may shorten the interval meanwhile.
    this.#clock.sleep(Math.min(waitMs, this.#intervalMs)).then(() => {
      this.#timerActive = false
      this.#schedule()
    }, () => {})
  }

  get #intervalMs (): number {
    return Math.min(Math.max(MIN_INTERVAL_MS, this.#instanceCount() * MS_PER_SECOND / MAX_BATCHES_PER_SECOND), MAX_INTERVAL_MS)
  }

  #sendNext (): void {
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

  async #deliver (batch: readonly PendingCall[]): Promise<void> {
    for (const sent of batch) this.#sentCalls.add(sent)
    try {
      const answers = await this.#send(batch.map(({ call }) => call))
      for (const [position, { resolve, reject }] of batch.entries()) {
        const answer = answers[position]
        if (answer === undefined) reject(new Error('the batch was answered in part'))
        else resolve(answer)
      }
    } catch (error) {
      for (const { reject } of batch) reject(error)
    } finally {
      for (const sent of batch) this.#sentCalls.delete(sent)
    }
  }
}
