/** Claims request identities through the instance responsible for the shard, or directly in the store if that instance can't be reached. */
import { incarnationKey, sameInstance } from '../../model/identity.ts'
import type { InstanceRef } from '../../model/identity.ts'
import type { Clock } from '../../ports/clock.ts'
import type { ClaimEntry, ClaimOutcome, PeerClient } from '../../ports/peerClient.ts'
import { rankNodes } from '../rendezvous.ts'
import type { ClaimLog } from './claimLog.ts'
import { hashIdentity, shardOf } from './claimSegment.ts'

const PEER_TIMEOUT_MS = 1_500
const RETRY_INTERVAL_MS = 100

export interface ClaimPeer {
  readonly ref: InstanceRef
  readonly address: string
}

export interface ClaimClientDependencies {
  readonly claimLog: Pick<ClaimLog, 'claim'>
  readonly peerClient: Pick<PeerClient, 'claim'>
  readonly clock: Clock
  self (): InstanceRef
  /** All serving instances, including this one. */
  liveInstances (): readonly ClaimPeer[]
}

/**
 * Claims identities for the requests of one entry instance.
 *
 * @example
 * const outcome = await claimClient.claim('weavers', request.id, attemptId, deadlineAt)
 * if (outcome === 'duplicate') refuse('may-have-run')
 */
export class ClaimClient {
  readonly #dependencies: ClaimClientDependencies

  constructor (dependencies: ClaimClientDependencies) {
    this.#dependencies = dependencies
  }

  /**
   * Claims an identity for a holder; retries until the deadline, in monotonic milliseconds.
   * After `unavailable` the identity may still have been claimed, but only for this holder.
   */
  async claim (team: string, requestId: string, holder: string, deadlineAt: number): Promise<ClaimOutcome> {
    const { clock } = this.#dependencies
    const entry = { identity: hashIdentity(team, requestId), holder }
    while (clock.monotonicMs() < deadlineAt) {
      const remainingMs = deadlineAt - clock.monotonicMs()
      const outcome = await this.#withTimeout(remainingMs, signal => this.#claimOnce(entry, signal))
      if (outcome !== undefined && outcome !== 'unavailable') return outcome
      await clock.sleep(Math.min(RETRY_INTERVAL_MS, Math.max(0, deadlineAt - clock.monotonicMs())))
    }
    return 'unavailable'
  }

  async #claimOnce (entry: ClaimEntry, signal: AbortSignal): Promise<ClaimOutcome> {
    const responsible = this.#findResponsible(entry.identity)
    if (responsible !== undefined && !sameInstance(responsible.ref, this.#dependencies.self())) {
      const answer = await this.#withTimeout(PEER_TIMEOUT_MS, timeout =>
        this.#dependencies.peerClient.claim(responsible.address, [entry], AbortSignal.any([signal, timeout]))).catch(() => undefined)
      if (answer?.[0] !== undefined && answer[0] !== 'unavailable') return answer[0]
    }
    const [outcome] = await this.#dependencies.claimLog.claim([entry])
    return outcome ?? 'unavailable'
  }

  #findResponsible (identity: string): ClaimPeer | undefined {
    const peers = new Map(this.#dependencies.liveInstances().map(peer => [incarnationKey(peer.ref) as string, peer]))
    const [first] = rankNodes(`claim/${shardOf(identity)}`, [...peers.keys()])
    return first === undefined ? undefined : peers.get(first)
  }

  /** Runs the operation with a time limit; resolves with undefined if the limit is reached first. */
  async #withTimeout<T> (durationMs: number, operation: (signal: AbortSignal) => Promise<T>): Promise<T | undefined> {
    const abort = new AbortController()
    const timer = this.#dependencies.clock.sleep(durationMs, abort.signal).then(() => undefined, () => undefined)
    try {
      return await Promise.race([operation(abort.signal), timer])
    } finally {
      abort.abort()
    }
  }
}
