/** Sends the calls of one instance to the coordinator together, so that bursts cost it few requests. */
import type { Clock } from '../ports/clock.ts'
import type { CallerCall, CoordinatorAnswer } from './callerCall.ts'

/** Batches of all instances together that a coordinator takes in a second, at 0.3 ms of processor each. */
const BATCHES_PER_SECOND = 350
/** Shortest and longest time between the beginnings of two batches of one instance. */
const SHORTEST_INTERVAL_MS = 30
const LONGEST_INTERVAL_MS = 120
const MS_PER_SECOND = 1_000
/** Bounds the time that one batch keeps the coordinator from other work. */
const LARGEST_BATCH = 60
/**
 * From this number of batches without an answer on, the coordinator has fallen behind, or connections have gone silent.
 * A calm batch is answered within an interval.
 */
const BATCHES_ANSWERED_LATE = 3
/**
 * Interval of batches from then on: calls gather into fewer and larger batches, which cost the coordinator fewer
 * connections and less time, and still find out soon that other connections are answered.
 */
const LATE_INTERVAL_MS = 300
/** Batches without an answer at the same time at most. */
const BATCHES_IN_FLIGHT = 8

type SendBatch = (calls: readonly CallerCall[]) => Promise<readonly CoordinatorAnswer[]>

interface WaitingCall {
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
  readonly #instances: () => number
  #waiting: WaitingCall[] = []
  readonly #sent = new Set<WaitingCall>()
  #inFlight = 0
  #lastBatchMs = -Infinity
  #scheduled = false

  /** `instances` is the number of instances that send batches. */
  constructor (clock: Clock, send: SendBatch, instances: () => number) {
    this.#clock = clock
    this.#send = send
    this.#instances = instances
  }

  handle (call: CallerCall): Promise<CoordinatorAnswer> {
    return new Promise((resolve, reject) => {
      this.#waiting.push({ call, resolve, reject })
      this.#schedule()
    })
  }

  /** Fails all calls that are not answered, without waiting for an answer any more. */
  abandon (reason: string): void {
    for (const { reject } of [...this.#sent, ...this.#waiting]) reject(new Error(reason))
    this.#waiting = []
  }

  #schedule (): void {
    if (this.#waiting.length === 0 || this.#inFlight >= BATCHES_IN_FLIGHT) return
    const intervalMs = this.#inFlight >= BATCHES_ANSWERED_LATE ? LATE_INTERVAL_MS : this.#intervalMs
    const waitMs = this.#lastBatchMs + intervalMs - this.#clock.monotonicMs()
    if (waitMs <= 0) return this.#sendNext()
    if (this.#scheduled) return
    this.#scheduled = true
    // An answer may shorten the interval meanwhile.
    this.#clock.sleep(Math.min(waitMs, this.#intervalMs)).then(() => {
      this.#scheduled = false
      this.#schedule()
    }, () => {})
  }

  get #intervalMs (): number {
    return Math.min(Math.max(SHORTEST_INTERVAL_MS, this.#instances() * MS_PER_SECOND / BATCHES_PER_SECOND), LONGEST_INTERVAL_MS)
  }

  #sendNext (): void {
    const batch = this.#waiting.splice(0, LARGEST_BATCH)
    if (batch.length === 0) return
    this.#inFlight += 1
    this.#lastBatchMs = this.#clock.monotonicMs()
    this.#deliver(batch).finally(() => {
      this.#inFlight -= 1
      this.#schedule()
    })
    this.#schedule()
  }

  async #deliver (batch: readonly WaitingCall[]): Promise<void> {
    for (const sent of batch) this.#sent.add(sent)
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
      for (const sent of batch) this.#sent.delete(sent)
    }
  }
}
