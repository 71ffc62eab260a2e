/** Executes a coordinator's orders to targets, and returns their outcomes in batches. */
import { runInBackground } from '../lifecycle/runInBackground.ts'
import type { Logger } from '../observability/logger.ts'
import type { TimerClock } from '../ports/clock.ts'
import type { JobTargetConnector } from '../ports/jobTarget.ts'
import { RelayChannel } from './relayChannel.ts'
import type { NumberedOrder, RelayAnswer, RelayBatch, RelayState, RelayTime } from './relayMessages.ts'
import { TargetClients } from './targetClients.ts'

/** A channel without a batch for this long belongs to a coordinator that has gone or uses another relay. */
const CHANNEL_TIMEOUT_MS = 5_000
const CLEANUP_INTERVAL_MS = 1_000

export interface TargetRelayOptions {
  readonly clock: TimerClock
  readonly logger: Logger
  readonly connect: JobTargetConnector
  /** Fencing token of the latest coordinator that this instance knows; 0 if it knows none. */
  readonly latestFence: () => number
}

/**
 * Runs at each instance. It decides nothing: leases, fencing tokens and retries are the coordinator's.
 *
 * @example
 * const relay = new TargetRelay({ clock, logger, connect, latestFence: () => election.coordinator?.fence ?? 0 })
 * const { outcomes } = await relay.exchange({ fence: 7, channel: 'entry-1/7/1', waitMs: 400, orders: [] })
 */
export class TargetRelay {
  readonly #options: TargetRelayOptions
  readonly #clients: TargetClients
  readonly #channels = new Map<string, RelayChannel>()
  /** Highest fencing token received in a batch. */
  #highestFence = 0
  #lastCleanupMs = -Infinity
  #closing = false

  constructor (options: TargetRelayOptions) {
    this.#options = options
    this.#clients = new TargetClients(options.clock, options.logger, options.connect)
  }

  /** Executes the orders of a batch, and resolves with the outcomes that are available within `waitMs` milliseconds. */
  async exchange (batch: RelayBatch): Promise<RelayAnswer> {
    this.#highestFence = Math.max(this.#highestFence, batch.fence)
    this.#removeUnused()
    if (this.#isSuperseded(batch.fence)) return { state: 'superseded', time: this.#time(), outcomes: [] }
    const channel = this.#channels.get(batch.channel) ?? new RelayChannel(this.#options.clock)
    this.#channels.set(batch.channel, channel)
    const newOrders = channel.takeNew(batch.orders)
    for (const order of newOrders) {
      const reason = this.#reasonNotToSend(batch)
      if (reason !== undefined) channel.add({ number: order.number, result: { type: 'not-sent', reason } })
      else runInBackground(this.#execute(order, channel), this.#options.logger, 'relay of an order')
    }
    const outcomes = await channel.awaitOutcomes(this.#closing ? 0 : batch.waitMs)
    return { state: this.#state(batch.fence), time: this.#time(), outcomes }
  }

  /** Asks the coordinator to use other relays, before a planned stop; orders that were accepted are finished. */
  beginClosing (): void {
    this.#closing = true
    for (const channel of this.#channels.values()) channel.release()
  }

  async close (): Promise<void> {
    this.beginClosing()
    await this.#clients.close()
  }

  async #execute (order: NumberedOrder, channel: RelayChannel): Promise<void> {
    try {
      channel.add({ number: order.number, result: await this.#clients.execute(order) })
    } catch (error) {
      channel.add({ number: order.number, result: { type: 'unanswered', reason: String(error) } })
      throw error
    }
  }

  #state (fence: number): RelayState {
    if (this.#isSuperseded(fence)) return 'superseded'
    return this.#closing ? 'closing' : 'open'
  }

  #isSuperseded (fence: number): boolean {
    return Math.max(this.#highestFence, this.#options.latestFence()) > fence
  }

  /** Checked immediately before each order is sent, since the process may have been paused since the batch arrived. */
  #reasonNotToSend ({ fence, validUntil }: RelayBatch): string | undefined {
    if (this.#isSuperseded(fence)) return 'a later coordinator is known'
    const { monotonicMs, wallMs } = this.#time()
    if (validUntil === undefined || monotonicMs > validUntil.monotonicMs || wallMs > validUntil.wallMs) return 'the order has expired'
    return undefined
  }

  /** Called by each exchange, so that a relay without a coordinator needs no timer. */
  #removeUnused (): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs - this.#lastCleanupMs < CLEANUP_INTERVAL_MS) return
    this.#lastCleanupMs = nowMs
    for (const [name, channel] of this.#channels) {
      if (channel.idleMs > CHANNEL_TIMEOUT_MS) this.#channels.delete(name)
    }
    this.#clients.removeUnused()
  }

  #time (): RelayTime {
    const { clock } = this.#options
    return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() }
  }
}
