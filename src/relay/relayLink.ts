/** A coordinator's connection to one relay: sends orders in batches and settles them by their outcomes. */
import type { Logger } from '../observability/logger.ts'
import type { CancelTimer, TimerClock } from '../ports/clock.ts'
import type { NumberedOrder, RelayAnswer, RelayBatch, RelayOutcome, RelayResult, RelayTarget, RelayTime, TargetOrder } from './relayMessages.ts'

/** Orders in a batch; bounds the time for which one batch occupies the relay. */
const MAX_BATCH_SIZE = 80
/** An exchange without orders waits this long for an outcome. A relay that has not answered by then is taken to be lost. */
const POLL_MS = 300
/** A round trip between regions lengthens the interval between answers, so that several batches are on their way. */
const MAX_EXCHANGES_IN_FLIGHT = 6
/** Orders may be sent to targets until this long after they left the coordinator, on the relay's clocks. */
const ORDER_VALIDITY_MS = 700
/**
 * Orders that have waited for their batch for longer are not sent; as long as an exchange may take. Together with the
 * validity, it bounds the time after which an order can be sent to its target, also if this process was paused.
 */
const MAX_QUEUED_MS = 1_000
/** Added to the time for which a target may wait; longer than the time limits of calls to targets, and than two exchanges. */
const OUTCOME_TIMEOUT_MS = 1_700

export interface RelayLinkOptions {
  readonly relay: string
  readonly fence: number
  /** Unique among all links of all coordinators. */
  readonly channel: string
  /** Minimum interval between the starts of two exchanges, in milliseconds. */
  readonly intervalMs: () => number
  readonly exchange: (batch: RelayBatch) => Promise<RelayAnswer>
  readonly clock: TimerClock
  readonly logger: Logger
  /** Whether the coordinator may send orders now. */
  readonly hasAuthority: () => boolean
  /** Called when a later coordinator exists, according to the relay. */
  readonly onSuperseded: () => void
}

interface OutstandingOrder {
  readonly order: NumberedOrder
  readonly submittedAtMs: number
  readonly maySend: () => boolean
  readonly settle: (result: RelayResult) => void
}

/** Difference between the clocks of the relay and of this process; a lower bound, because the answer was on its way. */
type ClockOffset = RelayTime

/**
 * A link is opened by its first answer, and fails for good when an exchange is not answered: its outstanding orders are
 * then unanswered.
 *
 * @example
 * const link = new RelayLink(options)
 * link.open()
 * if (link.usable) console.log(await link.submit(target, { type: 'stop', order }))
 */
export class RelayLink {
  readonly #options: RelayLinkOptions
  readonly #queued: OutstandingOrder[] = []
  readonly #sent = new Map<number, OutstandingOrder>()
  #offset: ClockOffset | undefined
  #nextNumber = 1
  #exchangesInFlight = 0
  #lastSentAtMs = -Infinity
  #cancelFlush: CancelTimer | undefined
  #acceptsOrders = true
  #ended = false

  constructor (options: RelayLinkOptions) {
    this.#options = options
  }

  /** Address of the relay. */
  get relay (): string {
    return this.#options.relay
  }

  /** Whether orders can be submitted now. */
  get usable (): boolean {
    return this.#offset !== undefined && this.#acceptsOrders
  }

  /** Whether the link takes no orders any more; the outstanding ones may still have outcomes. */
  get retired (): boolean {
    return !this.#acceptsOrders
  }

  /** Whether the link has failed, or has finished its orders. */
  get ended (): boolean {
    return this.#ended
  }

  /** Number of orders whose outcomes are not known yet. */
  get outstanding (): number {
    return this.#sent.size + this.#queued.length
  }

  open (): void {
    this.#exchange([], undefined)
  }

  /** Resolves with the result of the order at its target; never rejects. `maySend` is asked again when a queued order is sent. */
  submit (target: RelayTarget, order: TargetOrder, maySend: () => boolean = () => true): Promise<RelayResult> {
    if (!this.usable) return Promise.resolve({ type: 'not-sent', reason: 'the relay takes no orders' })
    return new Promise(resolve => {
      this.#queued.push({ order: { ...order, number: this.#nextNumber++, target }, submittedAtMs: this.#nowMs, maySend, settle: resolve })
      this.#scheduleFlush()
    })
  }

  /** Takes no new orders, and ends when the outstanding ones have their outcomes. */
  finish (): void {
    this.#acceptsOrders = false
    if (this.#sent.size === 0 && this.#queued.length === 0) this.#end('the relay is not used any more')
  }

  /** Ends the link at once. */
  close (): void {
    this.#end('the coordinator has closed the connection to the relay')
  }

  get #nowMs (): number {
    return this.#options.clock.monotonicMs()
  }

  #scheduleFlush (): void {
    if (this.#cancelFlush !== undefined || this.#ended || this.#exchangesInFlight >= MAX_EXCHANGES_IN_FLIGHT) return
    this.#cancelFlush = this.#options.clock.schedule(Math.max(0, this.#lastSentAtMs + this.#options.intervalMs() - this.#nowMs), () => {
      this.#cancelFlush = undefined
      this.#flush()
    })
  }

  /** Sends what is queued; without orders, an exchange is kept open for the outcomes of earlier ones. */
  #flush (): void {
    // Computed before the authority is checked, so that a pause between the two shortens the validity.
    const validUntil = this.#validUntil()
    if (!this.#options.hasAuthority()) this.#rejectQueued()
    const batch = this.#takeBatch()
    if (batch.length === 0 && this.#exchangesInFlight > 0) return
    for (const outstanding of batch) this.#sent.set(outstanding.order.number, outstanding)
    this.#exchange(batch.map(({ order }) => order), validUntil)
    if (this.#queued.length > 0) this.#scheduleFlush()
  }

  /** Takes queued orders for the next exchange, and settles those that may not be sent any more. */
  #takeBatch (): readonly OutstandingOrder[] {
    const nowMs = this.#nowMs
    const batch: OutstandingOrder[] = []
    let taken = 0
    for (const outstanding of this.#queued) {
      if (batch.length >= MAX_BATCH_SIZE) break
      taken += 1
      if (nowMs - outstanding.submittedAtMs > MAX_QUEUED_MS) outstanding.settle({ type: 'not-sent', reason: 'the order waited too long' })
      else if (outstanding.maySend()) batch.push(outstanding)
      else outstanding.settle({ type: 'not-sent', reason: 'the order was taken back' })
    }
    this.#queued.splice(0, taken)
    return batch
  }

  /** The process may have been paused since the orders were submitted, and their authority checked. */
  #rejectQueued (): void {
    for (const { settle } of this.#queued.splice(0)) settle({ type: 'not-sent', reason: 'the coordinator has no authority any more' })
  }

  #exchange (orders: readonly NumberedOrder[], validUntil: RelayTime | undefined): void {
    const { fence, channel, exchange } = this.#options
    const opening = validUntil === undefined
    this.#exchangesInFlight += 1
    this.#lastSentAtMs = this.#nowMs
    exchange({ fence, channel, orders, waitMs: opening ? 0 : POLL_MS, ...(opening ? {} : { validUntil }) }).then(answer => {
      this.#exchangesInFlight -= 1
      this.#handleAnswer(answer)
    }, error => {
      this.#exchangesInFlight -= 1
      this.#fail(error instanceof Error ? error.message : String(error))
    })
  }

  #handleAnswer ({ state, time, outcomes }: RelayAnswer): void {
    if (this.#ended) return
    this.#updateOffset(time)
    this.#logUnmatched(outcomes)
    for (const outcome of outcomes) this.#settle(outcome)
    if (state === 'superseded') {
      this.#fail('the relay knows a later coordinator')
      return this.#options.onSuperseded()
    }
    this.#settleOverdue()
    const isTooSlow = outcomes.some(({ result }) => result.type === 'not-sent')
    if (isTooSlow && this.#acceptsOrders) this.#options.logger.warn({ relay: this.#options.relay, fence: this.#options.fence }, 'a relay did not send an order in time')
    if (state === 'closing' || isTooSlow || !this.#acceptsOrders) this.finish()
    this.#scheduleFlush()
  }

  /** An outcome that matches no order would count for another target or incarnation, unless its order was given up before. */
  #logUnmatched (outcomes: readonly RelayOutcome[]): void {
    const unmatched = outcomes.filter(({ number, result }) => !('reason' in result) && this.#sent.get(number)?.order.type !== result.type)
    const [first] = unmatched
    if (first === undefined) return
    const { relay, channel, logger } = this.#options
    const order = this.#sent.get(first.number)?.order
    logger.info({ relay, channel, outcomes: unmatched.length, number: first.number, type: first.result.type, orderType: order?.type, target: order?.target.id, bornMs: order?.target.bornMs }, 'a relay returned outcomes that match no outstanding order')
  }

  #settle ({ number, result }: RelayOutcome): void {
    this.#sent.get(number)?.settle(result)
    this.#sent.delete(number)
  }

  #settleOverdue (): void {
    const overdue = [...this.#sent.values()].filter(({ order, submittedAtMs }) => {
      const waitMs = order.type === 'renew' ? order.order.waitMs : 0
      return this.#nowMs - submittedAtMs >= waitMs + OUTCOME_TIMEOUT_MS
    })
    const [first] = overdue
    if (first === undefined) return
    const { relay, channel, logger } = this.#options
    const { number, type, target } = first.order
    logger.info({ relay, channel, orders: overdue.length, number, type, target: target.id, bornMs: target.bornMs }, 'a relay gave no outcome in time')
    for (const { order } of overdue) this.#settle({ number: order.number, result: { type: 'unanswered', reason: 'the relay gave no outcome in time' } })
  }

  #updateOffset ({ monotonicMs, wallMs }: RelayTime): void {
    this.#offset = { monotonicMs: monotonicMs - this.#nowMs, wallMs: wallMs - this.#nowMs }
  }

  #validUntil (): RelayTime | undefined {
    const untilMs = this.#nowMs + ORDER_VALIDITY_MS
    return this.#offset === undefined ? undefined : { monotonicMs: this.#offset.monotonicMs + untilMs, wallMs: this.#offset.wallMs + untilMs }
  }

  #fail (reason: string): void {
    if (this.#ended) return
    const { logger, relay, fence, channel } = this.#options
    logger.warn({ relay, fence, channel, outstanding: this.#sent.size, queued: this.#queued.length, reason }, 'connection to a relay lost')
    this.#end(reason)
  }

  #end (reason: string): void {
    this.#ended = true
    this.#acceptsOrders = false
    this.#cancelFlush?.()
    for (const { settle } of this.#queued.splice(0)) settle({ type: 'not-sent', reason })
    for (const { settle } of this.#sent.values()) settle({ type: 'unanswered', reason })
    this.#sent.clear()
  }
}
