/** The known instances, with the time of the last report from each. */
import type { Clock } from '../ports/clock.ts'
import type { InstanceReport } from '../ports/coordinatorPeer.ts'

/** A peer without a report for this long gets no questions to the advisor and no store checks. */
const ALIVE_TIMEOUT_MS = 1_500
/** A peer without a report for longer than this is removed. */
const EVICTION_TIMEOUT_MS = 60_000

export interface KnownPeer {
  readonly address: string
  readonly instance: string
  readonly lastSeenAtMs: number
  /** Last report; undefined if the peer is known only through other instances. */
  readonly report?: InstanceReport
}

/**
 * @example
 * const peers = new PeerDirectory(clock)
 * peers.recordReport(report)
 * for (const { address } of peers.alive) ask(address)
 */
export class PeerDirectory {
  readonly #clock: Clock
  readonly #peers = new Map<string, KnownPeer>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get addresses (): readonly string[] {
    return [...this.#peers.keys()]
  }

  /** Peers that reported within the alive time-out. */
  get alive (): readonly KnownPeer[] {
    const nowMs = this.#clock.monotonicMs()
    return [...this.#peers.values()].filter(({ lastSeenAtMs }) => nowMs - lastSeenAtMs < ALIVE_TIMEOUT_MS)
  }

  has (address: string): boolean {
    return this.#peers.has(address)
  }

  recordReport (report: InstanceReport): void {
    const { address, instance } = report
    this.#peers.set(address, { address, instance, lastSeenAtMs: this.#clock.monotonicMs(), report })
  }

  /** Adds addresses that another instance knows; they do not count as alive until they report. */
  addAddresses (addresses: readonly string[]): void {
    const lastSeenAtMs = this.#clock.monotonicMs() - ALIVE_TIMEOUT_MS
    for (const address of addresses) {
      if (!this.#peers.has(address)) this.#peers.set(address, { address, instance: address, lastSeenAtMs })
    }
  }

  evictSilent (): void {
    const beforeMs = this.#clock.monotonicMs() - EVICTION_TIMEOUT_MS
    for (const { address, lastSeenAtMs } of this.#peers.values()) {
      if (lastSeenAtMs < beforeMs) this.#peers.delete(address)
    }
  }
}
