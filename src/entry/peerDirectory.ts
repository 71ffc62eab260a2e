/** The other instances that this one knows of, and when it last heard of them. */
import type { Clock } from '../ports/clock.ts'
import type { InstanceReport } from '../ports/coordinatorPeer.ts'

/** An instance that was silent for longer asks the advisor for nobody. */
const PEER_SILENCE_MS = 1_500
/** A peer that was silent for longer is forgotten. */
const PEER_FORGOTTEN_MS = 60_000

export interface KnownPeer {
  readonly address: string
  readonly instance: string
  readonly seenAtMs: number
  /** Its last report; undefined if only others told of the peer. */
  readonly report?: InstanceReport
}

/**
 * @example
 * const peers = new PeerDirectory(clock)
 * peers.noteReport(report)
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

  /** Peers that reported lately. */
  get alive (): readonly KnownPeer[] {
    const nowMs = this.#clock.monotonicMs()
    return [...this.#peers.values()].filter(({ seenAtMs }) => nowMs - seenAtMs < PEER_SILENCE_MS)
  }

  has (address: string): boolean {
    return this.#peers.has(address)
  }

  noteReport (report: InstanceReport): void {
    const { address, instance } = report
    this.#peers.set(address, { address, instance, seenAtMs: this.#clock.monotonicMs(), report })
  }

  /** Notes addresses that another instance knows; they have not been heard of themselves. */
  learn (addresses: readonly string[]): void {
    const seenAtMs = this.#clock.monotonicMs() - PEER_SILENCE_MS
    for (const address of addresses) {
      if (!this.#peers.has(address)) this.#peers.set(address, { address, instance: address, seenAtMs })
    }
  }

  forgetSilent (): void {
    const beforeMs = this.#clock.monotonicMs() - PEER_FORGOTTEN_MS
    for (const { address, seenAtMs } of this.#peers.values()) {
      if (seenAtMs < beforeMs) this.#peers.delete(address)
    }
  }
}
