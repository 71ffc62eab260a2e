/** Claims requests at the instance that is responsible for their shard. */
import type { Clock } from '../../ports/clock.ts'
import type { ClaimEntry, ClaimOutcome, PeerClient } from '../../ports/peerClient.ts'
import type { Random } from '../../ports/random.ts'
import { rankNodes } from '../rendezvous.ts'
import { computeBackoff } from '../retries/backoff.ts'
import { createClaimIdentity, shardOf } from './claimIdentity.ts'
import type { ClaimLog } from './claimLog.ts'

/** A live instance that may be responsible for shards. */
export interface ClaimMember {
  readonly name: string
  readonly address: string
}

export interface ClaimClientOptions {
  readonly clock: Clock
  readonly random: Random
  readonly peerClient: Pick<PeerClient, 'claim'>
  readonly log: Pick<ClaimLog, 'claim'>
  readonly selfName: string
  membership (): readonly ClaimMember[]
}

/** A claim that takes longer gives its reservation back and is tried again. */
export const CLAIM_PATIENCE_MS = 1_000

export class ClaimClient {
  readonly #options: ClaimClientOptions

  constructor (options: ClaimClientOptions) {
    this.#options = options
  }

  /**
   * Claims a request for a holder; the same holder may ask again. `unavailable` means that it is not known whether
   * the claim was recorded, so that the request must not be sent.
   *
   * @example
   * const outcome = await client.claim('weavers', 'stock-2026-12', flightId, deadlineAt)
   */
  async claim (team: string, requestId: string, holder: string, deadlineAt: number): Promise<ClaimOutcome> {
    const { clock, random } = this.#options
    const entry = { identity: createClaimIdentity(team, requestId), holder }
    const until = Math.min(deadlineAt, clock.monotonicMs() + CLAIM_PATIENCE_MS)
    for (let attempt = 1; ; attempt++) {
      const outcome = await this.#claimOnce(entry, until)
      if (outcome !== 'unavailable') return outcome
      const delayMs = computeBackoff(attempt, random)
      if (clock.monotonicMs() + delayMs >= until) return outcome
      await clock.sleep(delayMs)
    }
  }

  async #claimOnce (entry: ClaimEntry, until: number): Promise<ClaimOutcome> {
    const { clock } = this.#options
    const timeout = new AbortController()
    const expired = clock.sleep(Math.max(0, until - clock.monotonicMs()), timeout.signal)
      .then((): ClaimOutcome => 'unavailable', (): ClaimOutcome => 'unavailable')
    try {
      return await Promise.race([this.#send(entry), expired])
    } finally {
      timeout.abort()
    }
  }

  /** Writes the claim itself if the responsible instance does not answer: the record keeps two writers apart. */
  async #send (entry: ClaimEntry): Promise<ClaimOutcome> {
    const { peerClient, log, selfName } = this.#options
    const responsible = this.#findResponsible(shardOf(entry.identity))
    if (responsible !== undefined && responsible.name !== selfName) {
      try {
        const [outcome] = await peerClient.claim(responsible.address, [entry])
        if (outcome === 'claimed' || outcome === 'duplicate') return outcome
      } catch {
        // The claim may have been recorded; the same holder asks again below.
      }
    }
    const [outcome] = await log.claim([entry])
    return outcome ?? 'unavailable'
  }

  #findResponsible (shard: number): ClaimMember | undefined {
    const members = this.#options.membership()
    const [name] = rankNodes(`claim/${shard}`, members.map(member => member.name))
    return members.find(member => member.name === name)
  }
}
