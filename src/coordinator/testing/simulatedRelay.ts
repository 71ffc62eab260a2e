/** Relays on a manual clock between a simulated coordinator and its targets, for model-based tests. */
import type { ManualClock } from '../../adapters/clock/manualClock.ts'
import { createLogger } from '../../observability/logger.ts'
import type { CancelTimer, TimerClock } from '../../ports/clock.ts'
import type { JobTargetConnector, PlacedTargetConnector } from '../../ports/jobTarget.ts'
import type { RelayAnswer, RelayBatch } from '../../relay/relayMessages.ts'
import { RelayPool } from '../../relay/relayPool.ts'
import { TARGETS_PER_RELAY } from '../../relay/selectRelays.ts'
import { TargetRelay } from '../../relay/targetRelay.ts'
import type { SimulatedTerm } from './simulatedCluster.ts'

const ONE_WAY_MS = 1
/** As long as the peer client waits beyond the wait of the relay. */
const EXCHANGE_MARGIN_MS = 700
/** Instances report to the coordinator at this interval. */
const UPDATE_INTERVAL_MS = 400
const REGION = 'region'
/** One more than the coordinator uses, so that a relay that it has lost is replaced. */
const CANDIDATES = 3

/** `losing` loses batches, `deaf` executes them and loses the answers, `late` delays batches, `repeating` delivers each again after the delay. */
export const RELAY_FAULTS = ['none', 'losing', 'deaf', 'late', 'repeating'] as const
export type RelayFault = typeof RELAY_FAULTS[number]

const logger = createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] })

/** The clock of another process, whose monotonic time began earlier. */
class OtherProcessClock implements TimerClock {
  readonly #clock: ManualClock
  readonly #offsetMs: number

  constructor (clock: ManualClock, offsetMs: number) {
    this.#clock = clock
    this.#offsetMs = offsetMs
  }

  monotonicMs (): number {
    return this.#clock.monotonicMs() + this.#offsetMs
  }

  wallMs (): number {
    return this.#clock.wallMs()
  }

  sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
    return this.#clock.sleep(durationMs, signal)
  }

  schedule (durationMs: number, action: () => void): CancelTimer {
    return this.#clock.schedule(durationMs, action)
  }
}

/** A relay process and the network between it and the coordinator. */
export class SimulatedRelay {
  fault: RelayFault = 'none'
  /** Delay of batches during the faults `late` and `repeating`. */
  delayMs = 0
  readonly #clock: ManualClock
  readonly #relay: TargetRelay
  #pausedUntilMs = -Infinity

  constructor (number: number, clock: ManualClock, connect: JobTargetConnector) {
    this.#clock = clock
    this.#relay = new TargetRelay({ clock: new OtherProcessClock(clock, (number + 1) * 1e6), logger, connect, latestFence: () => 0 })
  }

  /** Pauses the process: batches wait for it, and so do answers. Requests to targets that it has sent before arrive. */
  pause (durationMs: number): void {
    this.#pausedUntilMs = this.#clock.monotonicMs() + durationMs
  }

  /** Resolves with the answer, or rejects when the coordinator has waited too long for it. */
  deliver (batch: RelayBatch): Promise<RelayAnswer> {
    return new Promise((resolve, reject) => {
      const cancel = this.#clock.schedule(batch.waitMs + EXCHANGE_MARGIN_MS, () => reject(new Error('no answer')))
      this.#carry(batch).then(answer => {
        if (answer === undefined) return
        cancel()
        resolve(answer)
      }, reject)
    })
  }

  /** Resolves with undefined if the batch or its answer is lost. */
  async #carry (batch: RelayBatch): Promise<RelayAnswer | undefined> {
    const { fault, delayMs } = this
    await this.#clock.sleep(ONE_WAY_MS + (fault === 'late' ? delayMs : 0))
    if (fault === 'losing') return undefined
    if (fault === 'repeating') this.#clock.schedule(delayMs, () => { this.#execute(batch).catch(() => {}) })
    const answer = await this.#execute(batch)
    await this.#clock.sleep(ONE_WAY_MS)
    return fault === 'deaf' ? undefined : answer
  }

  async #execute (batch: RelayBatch): Promise<RelayAnswer> {
    await this.#untilResumed()
    const answer = await this.#relay.exchange(batch)
    await this.#untilResumed()
    return answer
  }

  async #untilResumed (): Promise<void> {
    while (this.#clock.monotonicMs() < this.#pausedUntilMs) await this.#clock.sleep(this.#pausedUntilMs - this.#clock.monotonicMs())
  }
}

/**
 * Connects the coordinator of each term to the targets through a `RelayPool`, which uses two relays.
 *
 * @example
 * const relays = new SimulatedRelays()
 * const cluster = new SimulatedCluster({ ...options, wrapConnector: relays.wrapConnector })
 * await cluster.elect()
 * relays.relay(0).pause(2_000)
 */
export class SimulatedRelays {
  #relays: readonly SimulatedRelay[] = []
  #pool: RelayPool | undefined

  readonly wrapConnector = (connect: JobTargetConnector, { fence, clock, hasAuthority }: SimulatedTerm): PlacedTargetConnector => {
    this.endTerm()
    if (this.#relays.length === 0) this.#relays = Array.from({ length: CANDIDATES }, (_, number) => new SimulatedRelay(number, clock, connect))
    const pool = new RelayPool({
      instance: `entry-${fence}`,
      fence,
      clock,
      logger,
      connect,
      regionOf: () => REGION,
      expected: [],
      exchange: async (address, batch) => await this.relay(Number(address)).deliver(batch),
      hasAuthority,
      isEvacuated: () => false,
      onSuperseded: () => {}
    })
    this.#pool = pool
    // Relays are used for many targets only; these are never called.
    for (let number = 0; number < TARGETS_PER_RELAY; number++) pool.connect('', { id: `unused-${number}`, bornMs: 0 }, '')
    this.#update(pool, clock)
    return pool.connect
  }

  relay (number: number): SimulatedRelay {
    const relay = this.#relays[number]
    if (relay === undefined) throw new Error(`there is no relay ${number}`)
    return relay
  }

  setFault (number: number, fault: RelayFault, delayMs: number): void {
    const relay = this.relay(number)
    relay.fault = fault
    relay.delayMs = delayMs
  }

  /** Closes the connections to the relays, as a coordinator does at the end of its term. */
  endTerm (): void {
    this.#pool?.close()
    this.#pool = undefined
  }

  endFaults (): void {
    for (const relay of this.#relays) {
      relay.fault = 'none'
      relay.pause(0)
    }
  }

  /** Offers the relays to the pool regularly, as the reports of the instances do. */
  #update (pool: RelayPool, clock: ManualClock): void {
    if (this.#pool !== pool) return
    pool.update(Array.from({ length: CANDIDATES }, (_, number) => ({ address: String(number), region: REGION, processors: 1 })))
    clock.schedule(UPDATE_INTERVAL_MS, () => this.#update(pool, clock))
  }
}
