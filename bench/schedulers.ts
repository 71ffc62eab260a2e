/** The schedulers that the decision benchmark compares: the project's modules and a naive implementation, behind one interface. */
import { ShareLedger } from '../src/scheduler/shares/shareLedger.ts'
import { FairQueue } from '../src/scheduler/queue/fairQueue.ts'
import { MAXIMUM_QUEUE_BYTES, MAXIMUM_QUEUE_ENTRIES } from '../src/scheduler/queue/fairQueue.ts'
import type { QueueEntry } from '../src/scheduler/queue/fairQueue.ts'
import { TargetPool } from '../src/scheduler/placement/targetPool.ts'
import { addResources, dominantFraction, fits, NO_RESOURCES, scaleResources, subtractResources } from '../src/model/resources.ts'
import type { Resources } from '../src/model/resources.ts'
import type { TargetInfo } from '../src/model/target.ts'
import type { Random } from '../src/ports/random.ts'
import { findWorkload } from '../src/workloads/registry.ts'

export type BenchEntry = QueueEntry<readonly string[]>

export interface BenchScheduler {
  readonly queued: number
  /** Places an entry without queueing it. */
  place (entry: BenchEntry): boolean
  push (entry: BenchEntry): void
  next (): BenchEntry | undefined
  release (entry: BenchEntry): void
}

/** The cluster and the clock of one run. */
export interface ClusterSetup {
  readonly targets: readonly TargetInfo[]
  readonly weights: ReadonlyMap<string, number>
  readonly clock: { monotonicMs (): number }
}

function totalSize ({ size, tasks }: BenchEntry): Resources {
  return scaleResources(size, tasks)
}

export class IndexedScheduler implements BenchScheduler {
  readonly #pool: TargetPool
  readonly #ledger = new ShareLedger()
  readonly #queue: FairQueue<readonly string[]>

  constructor (cluster: ClusterSetup, random: Random) {
    this.#pool = new TargetPool(random)
    for (const target of cluster.targets) this.#pool.addTarget(target)
    this.#ledger.setCapacity(this.#pool.free())
    for (const [team, weight] of cluster.weights) this.#ledger.setWeight(team, weight)
    this.#queue = new FairQueue({
      maximumEntries: MAXIMUM_QUEUE_ENTRIES,
      maximumBytes: MAXIMUM_QUEUE_BYTES,
      clock: cluster.clock,
      weightedShare: team => this.#ledger.weightedShare(team)
    })
  }

  get queued (): number {
    return this.#queue.size
  }

  place (entry: BenchEntry): boolean {
    const { team, size, kind, value } = entry
    if (this.#pool.place({ workload: findWorkload(kind), team, size, taskIds: value }).outcome !== 'placed') return false
    this.#ledger.charge(team, totalSize(entry))
    return true
  }

  push (entry: BenchEntry): void {
    this.#queue.push(entry)
  }

  next (): BenchEntry | undefined {
    return this.#queue.next(entry => this.place(entry))
  }

  release (entry: BenchEntry): void {
    for (const taskId of entry.value) this.#pool.release(taskId)
    this.#ledger.release(entry.team, totalSize(entry))
  }
}

/** Naive implementation: sorts the whole queue and scans all targets for each decision. */
export class NaiveScheduler implements BenchScheduler {
  readonly #cluster: ClusterSetup
  readonly #capacity: Resources
  readonly #targets: { readonly info: TargetInfo, free: Resources }[]
  readonly #targetByTask = new Map<string, { free: Resources }>()
  readonly #used = new Map<string, Resources>()
  #entries: BenchEntry[] = []

  constructor (cluster: ClusterSetup) {
    this.#cluster = cluster
    this.#targets = cluster.targets.map(info => ({ info, free: info.capacity }))
    this.#capacity = cluster.targets.reduce((sum, { capacity }) => addResources(sum, capacity), NO_RESOURCES)
  }

  get queued (): number {
    return this.#entries.length
  }

  place (entry: BenchEntry): boolean {
    const workload = findWorkload(entry.kind)
    const type = workload.targetType(entry.size)
    const context = { tasksInRack: () => 0 }
    const placed: string[] = []
    for (const taskId of entry.value) {
      let best: { readonly info: TargetInfo, free: Resources } | undefined
      let bestScore = Infinity
      for (const target of this.#targets) {
        if (target.info.type !== type || !fits(entry.size, target.free)) continue
        const candidate = { rack: target.info.rack, capacity: target.info.capacity, free: target.free }
        const score = workload.policy.score(candidate, entry.size, context)
        if (score < bestScore) [best, bestScore] = [target, score]
      }
      if (best === undefined) {
        for (const other of placed) this.#releaseTask(other, entry.size)
        return false
      }
      best.free = subtractResources(best.free, entry.size)
      this.#targetByTask.set(taskId, best)
      placed.push(taskId)
    }
    this.#used.set(entry.team, addResources(this.#used.get(entry.team) ?? NO_RESOURCES, totalSize(entry)))
    return true
  }

  push (entry: BenchEntry): void {
    this.#entries.push(entry)
  }

  next (): BenchEntry | undefined {
    const share = (team: string): number =>
      dominantFraction(this.#used.get(team) ?? NO_RESOURCES, this.#capacity) / this.#cluster.weights.get(team)!
    const sorted = this.#entries.map((entry, arrival) => ({ entry, arrival, share: share(entry.team) }))
      .sort((left, right) => left.entry.urgency - right.entry.urgency || left.share - right.share || left.arrival - right.arrival)
    const found = sorted.find(({ entry }) => this.place(entry))
    if (found !== undefined) this.#entries.splice(found.arrival, 1)
    return found?.entry
  }

  release (entry: BenchEntry): void {
    for (const taskId of entry.value) this.#releaseTask(taskId, entry.size)
    this.#used.set(entry.team, subtractResources(this.#used.get(entry.team)!, totalSize(entry)))
  }

  #releaseTask (taskId: string, size: Resources): void {
    const target = this.#targetByTask.get(taskId)!
    target.free = addResources(target.free, size)
    this.#targetByTask.delete(taskId)
  }
}
