/** Finds peers that reach the store, on behalf of a coordinator that does not. */
import type { Clock } from '../ports/clock.ts'
import type { CoordinatorPeer } from '../ports/coordinatorPeer.ts'
import type { KnownPeer } from './peerDirectory.ts'

/**
 * Peers asked at a time. Most searches end with the first group. The others reach a peer with the store also if only a
 * few of 50 have it; their sum limits the questions of a search.
 */
const GROUP_SIZES = [8, 16, 32] as const
/** Peers of the next group are asked after this time without an answer; above the round trip to another region. */
const GROUP_INTERVAL_MS = 150
/** The coordinator does not renew its lease during a search. */
const SEARCH_TIMEOUT_MS = 1_000
/** A later answer may differ; peers that were asked within this time without success are asked again only in the first group. */
const ANSWER_VALID_MS = 1_000

export interface PeersWithStoreOptions {
  readonly clock: Clock
  /** Peers that can be asked. */
  readonly candidates: () => readonly KnownPeer[]
  readonly connect: (address: string) => CoordinatorPeer
}

interface StoreAnswer {
  readonly reached: boolean
  readonly askedAtMs: number
}

/**
 * Asks peers in groups until one reaches the store: first those that just did, then those whose last report says so. That
 * report may be seconds old.
 *
 * @example
 * if (await peersWithStore.reachesStore()) await peersWithStore.release(lease)
 */
export class PeersWithStore {
  readonly #options: PeersWithStoreOptions
  /** Latest answer of each peer, by address; outdated ones are removed with the next search. */
  readonly #answers = new Map<string, StoreAnswer>()

  constructor (options: PeersWithStoreOptions) {
    this.#options = options
  }

  /** Whether a peer reaches the store. */
  async reachesStore (): Promise<boolean> {
    return await this.#search(async peer => await peer.reachesStore())
  }

  /** Asks peers to end an election lease; whether one of them did. */
  async release (lease: number): Promise<boolean> {
    return await this.#search(async peer => await peer.release(lease))
  }

  /** Resolves with true at the first peer for which `ask` does, otherwise with false. */
  async #search (ask: (peer: CoordinatorPeer) => Promise<boolean>): Promise<boolean> {
    const { clock } = this.#options
    const ended = new AbortController()
    const after = async (durationMs: number): Promise<boolean> => await clock.sleep(durationMs, ended.signal).then(() => false, () => false)
    const timeout = after(SEARCH_TIMEOUT_MS)
    const questions: Promise<boolean>[] = []
    try {
      for (const group of this.#createGroups()) {
        const answers = group.map(async ({ address }) => await this.#ask(address, ask))
        questions.push(...answers)
        if (await Promise.race([anyReached(questions), anyReached(answers), after(GROUP_INTERVAL_MS)])) return true
      }
      return await Promise.race([anyReached(questions), timeout])
    } finally {
      ended.abort()
    }
  }

  /** The peer counts as not reaching the store until it answers. */
  async #ask (address: string, ask: (peer: CoordinatorPeer) => Promise<boolean>): Promise<boolean> {
    const { clock, connect } = this.#options
    const askedAtMs = clock.monotonicMs()
    this.#answers.set(address, { reached: false, askedAtMs })
    const reached = await ask(connect(address)).catch(() => false)
    // A later question may have been answered before this one.
    if ((this.#answers.get(address)?.askedAtMs ?? askedAtMs) <= askedAtMs) this.#answers.set(address, { reached, askedAtMs })
    return reached
  }

  #createGroups (): readonly (readonly KnownPeer[])[] {
    this.#removeOutdatedAnswers()
    const order = ({ address, report }: KnownPeer): number => {
      const reached = this.#answers.get(address)?.reached
      if (reached === undefined) return report?.reachesStore === true ? 1 : 2
      return reached ? 0 : 3
    }
    const ordered = this.#options.candidates()
      .map(peer => ({ peer, position: order(peer) + Math.random() }))
      .sort((left, right) => left.position - right.position)
      .map(({ peer }) => peer)
    const [firstSize, ...laterSizes] = GROUP_SIZES
    const groups = [ordered.slice(0, firstSize)]
    const later = ordered.slice(firstSize).filter(({ address }) => this.#answers.get(address)?.reached !== false)
    let next = 0
    for (const size of laterSizes) groups.push(later.slice(next, next += size))
    return groups.filter(group => group.length > 0)
  }

  #removeOutdatedAnswers (): void {
    const sinceMs = this.#options.clock.monotonicMs() - ANSWER_VALID_MS
    for (const [address, { askedAtMs }] of this.#answers) if (askedAtMs <= sinceMs) this.#answers.delete(address)
  }
}

/** Resolves with true at the first answer that is true, and with false once all answers are known. */
async function anyReached (answers: readonly Promise<boolean>[]): Promise<boolean> {
  const reached = answers.map(async answer => { if (!await answer) throw new Error('not reached') })
  return await Promise.any(reached).then(() => true, () => false)
}
