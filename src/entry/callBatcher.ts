/** Sends the calls of one instance to the coordinator together, so that bursts cost it few requests. */
import type { Clock } from '../ports/clock.ts'
import type { CallerAnswer, CallerCall } from './callerCall.ts'

/** Batches begin at least this far apart: at most 30 requests a second from each instance. */
const BATCH_INTERVAL_MS = 30
/** Bounds the time that one batch keeps the coordinator from other work. */
const LARGEST_BATCH = 60
/** Batches without an answer at the same time; one may wait for the store while others read. */
const BATCHES_IN_FLIGHT = 8

type SendBatch = (calls: readonly CallerCall[]) => Promise<readonly CallerAnswer[]>

interface WaitingCall {
  readonly call: CallerCall
  readonly resolve: (answer: CallerAnswer) => void
  readonly reject: (error: unknown) => void
}

/**
 * A call after a pause is sent at once; calls that follow within the interval go together.
 *
 * @example
 * const batcher = new CallBatcher(clock, async calls => await peer.handle(calls))
 * const answer = await batcher.handle(call)
 */
export class CallBatcher {
  readonly #clock: Clock
  readonly #send: SendBatch
  #waiting: WaitingCall[] = []
  #inFlight = 0
  #nextBatchMs = 0
  #scheduled = false

  constructor (clock: Clock, send: SendBatch) {
    this.#clock = clock
    this.#send = send
  }

  handle (call: CallerCall): Promise<CallerAnswer> {
    return new Promise((resolve, reject) => {
      this.#waiting.push({ call, resolve, reject })
      this.#schedule()
    })
  }

  #schedule (): void {
    if (this.#scheduled || this.#waiting.length === 0 || this.#inFlight >= BATCHES_IN_FLIGHT) return
    const waitMs = this.#nextBatchMs - this.#clock.monotonicMs()
    if (waitMs <= 0) return this.#sendNext()
    this.#scheduled = true
    this.#clock.sleep(waitMs).then(() => {
      this.#scheduled = false
      this.#sendNext()
    }, () => {})
  }

  #sendNext (): void {
    const batch = this.#waiting.splice(0, LARGEST_BATCH)
    if (batch.length === 0) return
    this.#inFlight += 1
    this.#nextBatchMs = this.#clock.monotonicMs() + BATCH_INTERVAL_MS
    this.#deliver(batch).finally(() => {
      this.#inFlight -= 1
      this.#schedule()
    })
    this.#schedule()
  }

  async #deliver (batch: readonly WaitingCall[]): Promise<void> {
    try {
      const answers = await this.#send(batch.map(({ call }) => call))
      for (const [position, { resolve, reject }] of batch.entries()) {
        const answer = answers[position]
        if (answer === undefined) reject(new Error('the batch was answered in part'))
        else resolve(answer)
      }
    } catch (error) {
      for (const { reject } of batch) reject(error)
    }
  }
}
