/** The known instances, with the time of the last report from each. */
import murmurhash from 'murmurhash'
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
  /** Digest of the addresses; undefined when they have changed since it was computed. */
  #digest: string | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get addresses (): readonly string[] {
    return [...this.#peers.keys()]
  }

  /** Identifies the set of addresses, so that an unchanged set need not be sent again. */
  get digest (): string {
    this.#digest ??= `${this.#peers.size}-${murmurhash.v3([...this.#peers.keys()].sort().join(' '))}`
    return this.#digest
  }

  /** Peers that reported within the alive time-out. */
  get alive (): readonly KnownPeer[] {
    const nowMs = this.#clock.monotonicMs()
    return [...this.#peers.values()].filter(peer => isAlive(peer, nowMs))
  }

  has (address: string): boolean {
    return this.#peers.has(address)
  }

  /** Returns whether the peer was not alive before, or differs from its last report. */
  recordReport (report: InstanceReport): boolean {
    const { address, instance } = report
    const nowMs = this.#clock.monotonicMs()
    const known = this.#peers.get(address)
    if (known === undefined) this.#digest = undefined
    this.#peers.set(address, { address, instance, lastSeenAtMs: nowMs, report })
    return known === undefined || !isAlive(known, nowMs) || known.instance !== instance || known.report?.processors !== report.processors
  }

  /** Adds addresses that another instance knows; they do not count as alive until they report. */
  addAddresses (addresses: readonly string[]): void {
    const lastSeenAtMs = this.#clock.monotonicMs() - ALIVE_TIMEOUT_MS
    for (const address of addresses) {
      if (this.#peers.has(address)) continue
      this.#digest = undefined
      this.#peers.set(address, { address, instance: address, lastSeenAtMs })
    }
  }

  /** Returns whether any peer was removed. */
  evictSilent (): boolean {
    const sizeBefore = this.#peers.size
    const beforeMs = this.#clock.monotonicMs() - EVICTION_TIMEOUT_MS
    for (const { address, lastSeenAtMs } of this.#peers.values()) {
      if (lastSeenAtMs >= beforeMs) continue
      this.#digest = undefined
      this.#peers.delete(address)
    }
    return this.#peers.size < sizeBefore
  }
}

function isAlive ({ lastSeenAtMs }: KnownPeer, nowMs: number): boolean {
  return nowMs - lastSeenAtMs < ALIVE_TIMEOUT_MS
}
