/** Index of the usable targets of one type, in logarithmic buckets by free processors or slots. */
import type { Random } from '../../ports/random.ts'
import type { Resources } from '../../model/resources.ts'
import type { PlacementContext, PlacementPolicy } from '../../workloads/registry.ts'
import type { TargetState } from './targetState.ts'

/** Maximum number of candidates examined per decision once one that fits has been found. */
export const SAMPLE_LIMIT = 8

/** Buckets per doubling of free capacity, so that a runner's 1 to 8 slots get one bucket each. */
const BUCKETS_PER_DOUBLING = 4

export interface CapacitySearch {
  readonly size: Resources
  readonly policy: PlacementPolicy
  readonly context: PlacementContext
  readonly excludeTargets: ReadonlySet<string> | undefined
}

function bucketOf (amount: number): number {
  return amount < 1 ? 0 : 1 + Math.floor(Math.log2(amount) * BUCKETS_PER_DOUBLING)
}

/** Targets with similar free capacity in the indexed dimension. */
class Bucket {
  readonly targets: TargetState[] = []
  /** Upper bounds of the free capacity of each target in the bucket. */
  #highestMemory = 0
  #highestAccelerators = 0

  mayAdmit (size: Resources): boolean {
    return size.memory <= this.#highestMemory && size.accelerators <= this.#highestAccelerators
  }

  /** Updates the bounds for a target that was added or gained free capacity. */
  raiseBounds ({ free }: TargetState): void {
    if (free.memory > this.#highestMemory) this.#highestMemory = free.memory
    if (free.accelerators > this.#highestAccelerators) this.#highestAccelerators = free.accelerators
  }

  /** Recomputes exact bounds. Called after a search found nothing in the bucket, so that the next search can skip it. */
  tightenBounds (): void {
    this.#highestMemory = 0
    this.#highestAccelerators = 0
    for (const target of this.targets) this.raiseBounds(target)
  }
}

/** Best candidate so far and the number of candidates examined. */
interface Sample {
  best: TargetState | undefined
  bestScore: number
  examined: number
}

export class CapacityIndex {
  readonly #dimension: 'slots' | 'processors'
  readonly #random: Random
  readonly #buckets: Bucket[] = []

  constructor (dimension: 'slots' | 'processors', random: Random) {
    this.#dimension = dimension
    this.#random = random
  }

  insert (target: TargetState): void {
    const number = bucketOf(target.free[this.#dimension])
    while (this.#buckets.length <= number) this.#buckets.push(new Bucket())
    const bucket = this.#buckets[number]!
    target.bucket = number
    target.position = bucket.targets.length
    bucket.targets.push(target)
    bucket.raiseBounds(target)
  }

  remove (target: TargetState): void {
    const targets = this.#buckets[target.bucket]?.targets
    if (targets === undefined) return
    const last = targets.pop()!
    if (last !== target) {
      targets[target.position] = last
      last.position = target.position
    }
    target.bucket = -1
    target.position = -1
  }

  /** Moves a target to the bucket of its current free capacity. */
  refresh (target: TargetState): void {
    if (target.bucket === -1) return
    if (target.bucket === bucketOf(target.free[this.#dimension])) return this.#buckets[target.bucket]!.raiseBounds(target)
    this.remove(target)
    this.insert(target)
  }

  /**
   * Returns the best of up to `SAMPLE_LIMIT` candidates. The search continues past the limit until one target fits, so
   * that it returns undefined only if no target fits.
   */
  find (search: CapacitySearch): TargetState | undefined {
    const lowest = bucketOf(search.size[this.#dimension])
    const highest = this.#buckets.length - 1
    const sample: Sample = { best: undefined, bestScore: Infinity, examined: 0 }
    const ascending = search.policy.searchOrder === 'tightest-first'
    for (let step = 0; step <= highest - lowest; step++) {
      const bucket = this.#buckets[ascending ? lowest + step : highest - step]!
      if (bucket.targets.length > 0 && bucket.mayAdmit(search.size) && this.#examine(bucket, search, sample)) break
    }
    return sample.best
  }

  /** Examines a bucket from a random position; returns whether the sample is complete. */
  #examine (bucket: Bucket, search: CapacitySearch, sample: Sample): boolean {
    const { targets } = bucket
    let position = targets.length > 1 ? this.#random.integer(targets.length) : 0
    let admitted = false
    for (let count = 0; count < targets.length; count++) {
      if (sample.best !== undefined && sample.examined >= SAMPLE_LIMIT) return true
      const target = targets[position]!
      position = position + 1 === targets.length ? 0 : position + 1
      sample.examined++
      if (!target.admits(search.size)) continue
      admitted = true
      if (search.excludeTargets?.has(target.info.id) === true) continue
      const score = search.policy.score(target, search.size, search.context)
      if (score < sample.bestScore) {
        sample.best = target
        sample.bestScore = score
      }
    }
    if (!admitted) bucket.tightenBounds()
    return sample.best !== undefined && sample.examined >= SAMPLE_LIMIT
  }
}
