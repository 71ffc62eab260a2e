/** The relays of one term of a coordinator. */
import type { Logger } from '../observability/logger.ts'
import type { TimerClock } from '../ports/clock.ts'
import type { JobTargetConnector, PlacedTargetConnector } from '../ports/jobTarget.ts'
import { RelayedTarget } from './relayedTarget.ts'
import { RelayLink } from './relayLink.ts'
import type { RelayAnswer, RelayBatch } from './relayMessages.ts'
import { chooseRelay, needsRelays, selectRelays } from './selectRelays.ts'
import type { RelayCandidate } from './selectRelays.ts'

/** Exchanges that the coordinator begins with all its relays together; each takes about 0.3 ms of processor time. */
const MAX_EXCHANGES_PER_SECOND = 350
const MIN_EXCHANGE_INTERVAL_MS = 12
const MS_PER_SECOND = 1_000
/** By then, every instance has reported to a new coordinator; five report intervals. */
const EXPECTED_CANDIDATES_MS = 2_000
/**
 * Maximum wait of a new coordinator for its first relays: a named one answers after two round trips, and instances that
 * started at the same time have reported by then.
 */
const PREPARATION_WAIT_MS = 300
const PREPARATION_POLL_MS = 10
/** How long an instance is not used as a relay after its link failed, was too slow or was closed by it. */
const AVOID_RETIRED_MS = 3_000

export interface RelayPoolOptions {
  readonly instance: string
  readonly fence: number
  readonly clock: TimerClock
  readonly logger: Logger
  readonly connect: JobTargetConnector
  readonly regionOf: (dataCentre: string) => string
  /** Instances that the previous coordinator named; they count as candidates until they can have reported. */
  readonly expected: readonly RelayCandidate[]
  readonly exchange: (address: string, batch: RelayBatch) => Promise<RelayAnswer>
  /** Whether the coordinator may send orders now. */
  readonly hasAuthority: () => boolean
  /** Whether the data centre is evacuated now, so that starts for its targets are not sent. */
  readonly isEvacuated: (dataCentre: string) => boolean
  readonly onSuperseded: () => void
}

interface UsedRelay extends RelayCandidate {
  readonly link: RelayLink
}

/**
 * Connects to targets, and moves their orders to relays as these become known.
 *
 * @example
 * const pool = new RelayPool(options)
 * pool.update([{ address: '10.1.0.16:7600', region: 'attica', processors: 1.35 }])
 * const client = pool.connect('10.1.7.3:8400', { id: 'i-524754753b', bornMs: 1776820173600 }, 'attica-a')
 */
export class RelayPool {
  readonly #options: RelayPoolOptions
  readonly #targetsByRegion = new Map<string, number>()
  readonly #relays = new Map<string, UsedRelay>()
  readonly #retiredAtMs = new Map<string, number>()
  readonly #startedAtMs: number
  /** Of the last update. */
  #candidates: readonly RelayCandidate[] = []
  #linksOpened = 0
  #closed = false

  constructor (options: RelayPoolOptions) {
    this.#options = options
    this.#startedAtMs = options.clock.monotonicMs()
  }

  /** Addresses of the relays in use. */
  get relays (): readonly string[] {
    return [...this.#relays.keys()]
  }

  readonly connect: PlacedTargetConnector = (address, incarnation, dataCentre) => {
    const region = this.#options.regionOf(dataCentre)
    this.#countTarget(region, 1)
    return new RelayedTarget({
      target: { address, ...incarnation },
      direct: this.#options.connect(address, incarnation),
      selectLink: () => this.#selectLink(region, incarnation.id),
      mayStart: () => !this.#options.isEvacuated(dataCentre),
      onClose: () => this.#countTarget(region, -1)
    })
  }

  /**
   * Connects to relays for the targets known so far. Resolves when each region has one that takes orders, or after
   * 300 ms: a new coordinator would otherwise open hundreds of connections to targets before it answers a call.
   */
  async prepare (): Promise<void> {
    const { clock } = this.#options
    const untilMs = clock.monotonicMs() + PREPARATION_WAIT_MS
    this.update(this.#candidates)
    while (!this.#closed && clock.monotonicMs() < untilMs && this.#lacksRelays()) {
      await clock.sleep(PREPARATION_POLL_MS)
      this.update(this.#candidates)
    }
  }

  /** Opens and finishes links after a change of the targets or of the instances that can relay. */
  update (candidates: readonly RelayCandidate[]): void {
    if (this.#closed) return
    this.#candidates = candidates
    this.#removeRetiredLinks()
    const eligible = this.#withKnown(candidates).filter(({ address }) => !this.#retiredAtMs.has(address))
    const selected = new Map(selectRelays(this.#targetsByRegion, eligible, new Set(this.#relays.keys())).map(relay => [relay.address, relay]))
    for (const [address, { link }] of this.#relays) {
      if (selected.has(address)) continue
      this.#options.logger.info({ relay: address, outstanding: link.outstanding }, 'no more orders are sent through a relay')
      link.finish()
      this.#relays.delete(address)
    }
    for (const relay of selected.values()) {
      if (!this.#relays.has(relay.address)) this.#open(relay)
    }
  }

  close (): void {
    this.#closed = true
    for (const { link } of this.#relays.values()) link.close()
    this.#relays.clear()
  }

  /** Whether the targets need relays and those of a region have none that takes orders. */
  #lacksRelays (): boolean {
    if (!needsRelays(this.#targetsByRegion)) return false
    const relays = [...this.#relays.values()]
    return [...this.#targetsByRegion].some(([region, count]) => count > 0 && !relays.some(relay => relay.region === region && relay.link.usable))
  }

  /**
   * Adds the expected instances, and the relays in use: while their links answer, a busy coordinator may only have missed
   * their reports.
   */
  #withKnown (candidates: readonly RelayCandidate[]): readonly RelayCandidate[] {
    const { clock, expected } = this.#options
    const isExpected = clock.monotonicMs() - this.#startedAtMs <= EXPECTED_CANDIDATES_MS
    const known = [...this.#relays.values(), ...(isExpected ? expected : [])]
    const byAddress = new Map([...known, ...candidates].map(({ address, region, processors }) => [address, { address, region, processors }]))
    return [...byAddress.values()]
  }

  #open (relay: RelayCandidate): void {
    const { instance, fence, clock, logger, exchange, hasAuthority, onSuperseded } = this.#options
    this.#linksOpened += 1
    const channel = `${instance}/${fence}/${this.#linksOpened}`
    const link = new RelayLink({
      relay: relay.address,
      fence,
      channel,
      intervalMs: () => Math.max(MIN_EXCHANGE_INTERVAL_MS, this.#relays.size * MS_PER_SECOND / MAX_EXCHANGES_PER_SECOND),
      exchange: async batch => await exchange(relay.address, batch),
      clock,
      logger,
      hasAuthority,
      onSuperseded
    })
    this.#relays.set(relay.address, { ...relay, link })
    logger.info({ relay: relay.address, region: relay.region, processors: relay.processors, fence, channel }, 'orders to targets are relayed')
    link.open()
  }

  #removeRetiredLinks (): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const [address, retiredAtMs] of this.#retiredAtMs) {
      if (nowMs - retiredAtMs > AVOID_RETIRED_MS) this.#retiredAtMs.delete(address)
    }
    for (const [address, { link }] of this.#relays) {
      if (!link.retired) continue
      this.#relays.delete(address)
      this.#retiredAtMs.set(address, nowMs)
    }
  }

  #selectLink (region: string, target: string): RelayLink | undefined {
    const usable: string[] = []
    for (const { address, region: ofRelay, link } of this.#relays.values()) {
      if (ofRelay === region && link.usable) usable.push(address)
    }
    const chosen = chooseRelay(target, usable)
    return chosen === undefined ? undefined : this.#relays.get(chosen)?.link
  }

  #countTarget (region: string, change: 1 | -1): void {
    this.#targetsByRegion.set(region, (this.#targetsByRegion.get(region) ?? 0) + change)
  }
}
