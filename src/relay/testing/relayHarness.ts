/** A coordinator's link to a relay in one process, with a target and a network whose faults the test controls. */
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { createLogger } from '../../observability/logger.ts'
import type { JobTargetClient, RenewOrder, RenewOutcome, StartOutcome, StopOrder, StopOutcome, TaskOrder } from '../../ports/jobTarget.ts'
import { RelayLink } from '../relayLink.ts'
import type { RelayAnswer, RelayBatch, RelayTarget } from '../relayMessages.ts'
import { TargetRelay } from '../targetRelay.ts'

export const FENCE = 7
export const TARGET: RelayTarget = { address: '10.1.7.3:8400', id: 'worker-1', bornMs: 1 }
export const logger = createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] })
const ONE_WAY_MS = 1
/** As long as the peer client waits beyond the wait of the relay. */
const EXCHANGE_MARGIN_MS = 700

/** Records the orders that reach the target. */
export class RecordingTarget implements JobTargetClient {
  readonly orders: string[] = []
  answerMs = 1
  readonly #clock: ManualClock

  constructor (clock: ManualClock) {
    this.#clock = clock
  }

  async start ({ task, attempt, spec }: TaskOrder): Promise<StartOutcome> {
    this.orders.push(`start ${task}#${attempt} ${spec}`)
    await this.#clock.sleep(this.answerMs)
    return { outcome: 'started', clockMs: 0 }
  }

  async stop ({ task, attempt }: StopOrder): Promise<StopOutcome> {
    this.orders.push(`stop ${task}#${attempt}`)
    await this.#clock.sleep(this.answerMs)
    return 'stopping'
  }

  async renew ({ waitMs }: RenewOrder): Promise<RenewOutcome> {
    this.orders.push('renew')
    await this.#clock.sleep(waitMs)
    return { outcome: 'report', report: { bornMs: 1, clockMs: 0, running: [], finished: [], mayOmitFinished: false } }
  }

  async close (): Promise<void> {}
}

export class RelayHarness {
  readonly clock = new ManualClock()
  readonly target = new RecordingTarget(this.clock)
  readonly relay: TargetRelay
  readonly link: RelayLink
  readonly batches: RelayBatch[] = []
  /** Fencing token of the latest coordinator that the relay knows. */
  latestFence = FENCE
  /** Delay of batches on their way to the relay; Infinity loses them. */
  delayMs = ONE_WAY_MS
  /** Delays of the next batches, before `delayMs` applies again. */
  readonly delaysMs: number[] = []
  /** Loses the answers of the relay. */
  losesAnswers = false
  /** Delivers each batch twice. */
  duplicates = false
  superseded = 0
  hasAuthority = true
  /** Pause of the coordinator after the next check of its authority. */
  pauseAfterCheckMs = 0

  constructor () {
    const { clock } = this
    this.relay = new TargetRelay({ clock, logger, connect: () => this.target, latestFence: () => this.latestFence })
    this.link = new RelayLink({
      relay: 'entry-2', fence: FENCE, channel: 'entry-1/7/1', intervalMs: () => 12, clock, logger, exchange: async batch => await this.#deliver(batch), onSuperseded: () => { this.superseded += 1 }, hasAuthority: () => this.#checkAuthority()
    })
  }

  static async open (): Promise<RelayHarness> {
    const harness = new RelayHarness()
    harness.link.open()
    await harness.clock.advance(20)
    return harness
  }

  #checkAuthority (): boolean {
    const { hasAuthority, pauseAfterCheckMs } = this
    this.pauseAfterCheckMs = 0
    this.clock.pause(pauseAfterCheckMs)
    return hasAuthority
  }

  async #deliver (batch: RelayBatch): Promise<RelayAnswer> {
    this.batches.push(batch)
    return await Promise.race([this.#carry(batch), this.#timeOut(batch.waitMs + EXCHANGE_MARGIN_MS)])
  }

  async #carry (batch: RelayBatch): Promise<RelayAnswer> {
    await this.clock.sleep(Math.min(this.delaysMs.shift() ?? this.delayMs, 1e9))
    if (this.duplicates) this.relay.exchange(batch).catch(() => {})
    const answer = await this.relay.exchange(batch)
    await this.clock.sleep(this.losesAnswers ? 1e9 : ONE_WAY_MS)
    return answer
  }

  async #timeOut (afterMs: number): Promise<never> {
    await this.clock.sleep(afterMs)
    throw new Error('no answer')
  }
}

export function createStart (task: string, attempt = 1): TaskOrder {
  return { task, attempt, spec: 'text', leaseUntilTargetMs: 9_500, fencingToken: FENCE, checkpoint: '' }
}
