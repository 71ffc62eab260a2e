/** The claim log: at most one holder for each request that must not be repeated. */
import type { Clock } from '../../ports/clock.ts'
import type { ClaimEntry, ClaimOutcome } from '../../ports/peerClient.ts'
import type { Store } from '../../ports/store.ts'
import { shardOf } from './claimIdentity.ts'
import { ClaimShard } from './claimShard.ts'

export interface ClaimLogOptions {
  readonly store: Store
  readonly clock: Clock
}

/**
 * Records claims; any instance may, but one for each shard saves conflicts.
 *
 * @example
 * const [outcome] = await log.claim([{ identity, holder }])
 */
export class ClaimLog {
  readonly #options: ClaimLogOptions
  readonly #shards = new Map<number, ClaimShard>()

  constructor (options: ClaimLogOptions) {
    this.#options = options
  }

  async claim (entries: readonly ClaimEntry[]): Promise<readonly ClaimOutcome[]> {
    return await Promise.all(entries.map(async entry => await this.#findShard(shardOf(entry.identity)).claim(entry)))
  }

  #findShard (shard: number): ClaimShard {
    let found = this.#shards.get(shard)
    if (found === undefined) {
      found = new ClaimShard(this.#options.store, this.#options.clock, shard)
      this.#shards.set(shard, found)
    }
    return found
  }
}
