/** Test harness: the components that run requests on owned targets, wired as in an instance, with stand-in targets. */
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { MemoryTargetClient } from '../../adapters/target/memoryTargetClient.ts'
import { StandInTarget } from '../../adapters/target/standInTarget.ts'
import type { RefusalError } from '../../model/errors.ts'
import type { WorkRequest } from '../../model/request.ts'
import { resources } from '../../model/resources.ts'
import type { TargetFeatures, TargetInfo, TargetType } from '../../model/target.ts'
import type { ClaimOutcome, RunEvent } from '../../ports/peerClient.ts'
import { TargetBreaker } from '../../scheduler/breaker/targetBreaker.ts'
import { TargetPool } from '../../scheduler/placement/targetPool.ts'
import { FairQueue } from '../../scheduler/queue/fairQueue.ts'
import { ShareLedger } from '../../scheduler/shares/shareLedger.ts'
import { LocalScheduler } from '../placement/localScheduler.ts'
import type { LocalWork } from '../requests/localWork.ts'
import { PlacementQueue } from '../placement/placementQueue.ts'
import type { WaitingRequest } from '../placement/placementQueue.ts'
import { TaskStarter } from '../tasks/taskStarter.ts'
import { TaskTracker } from '../tasks/taskTracker.ts'

export const LEASE_MS = 15_000
const SLOTS = 2

const FEATURES: TargetFeatures = { fencing: true, startBy: true, inventory: true, checkpoint: true, remembersEnded: true }

export interface HarnessOptions {
  readonly targets?: number
  readonly features?: Partial<TargetFeatures>
  readonly type?: TargetType
  readonly queueEntries?: number
}

/** Outcome of one attempt. */
export interface RunResult {
  readonly events: readonly RunEvent['type'][]
  readonly refusal?: RefusalError
}

/**
 * Runs requests of one team on runners with two slots each.
 *
 * @example
 * const harness = new LocalSchedulerHarness()
 * const { refusal } = await harness.finish(harness.run({ payload: { runMs: 100 } }))
 */
export class LocalSchedulerHarness {
  readonly clock = new ManualClock()
  readonly pool = new TargetPool(new SeededRandom(1))
  readonly ledger = new ShareLedger()
  readonly breaker = new TargetBreaker(this.clock)
  readonly charged = new Set<string>()
  readonly fenced: string[] = []
  readonly claimedHolders: string[] = []
  readonly client = new MemoryTargetClient(this.clock, [])
  readonly tracker = new TaskTracker(this.clock, this.client)
  readonly targets: readonly StandInTarget[]
  readonly placements: PlacementQueue
  readonly starter: TaskStarter
  readonly scheduler: LocalScheduler
  /** Can be replaced to refuse or delay claims. */
  claim: () => Promise<ClaimOutcome> = async () => 'claimed'
  /** Can be replaced to refuse adoptions. */
  adopt: () => Promise<void> = async () => {}
  #attempts = 0

  constructor ({ targets = 1, features, type = 'runner', queueEntries = 10 }: HarnessOptions = {}) {
    this.targets = Array.from({ length: targets }, (_, index) => this.#addTarget(`r-${index + 1}`, type, { ...FEATURES, ...features }))
    this.placements = this.#createPlacements(queueEntries)
    this.starter = this.#createStarter()
    this.scheduler = new LocalScheduler({
      self: { name: 'entry-1', incarnation: 'a' },
      clock: this.clock,
      placements: this.placements,
      claims: {
        claim: async (_team, _id, holder) => {
          this.claimedHolders.push(holder)
          return await this.claim()
        }
      },
      starter: this.starter,
      tracker: this.tracker,
      onDetached: () => {},
      observer: { onPlaced: () => {}, onFinished: () => {} },
      estimateSize: (_team, { size }) => size
    })
  }

  /** The capacity, allotment and share that tasks hold; empty if nothing leaked. */
  get held (): readonly string[] {
    const slots = [...this.pool.targets()].reduce((sum, { info, free }) => sum + info.capacity.slots - free.slots, 0)
    return [...this.charged, ...this.placements.held.all().map(({ taskId }) => taskId),
      ...slots === 0 ? [] : [`${slots} slots`], ...this.ledger.used('cooks').slots === 0 ? [] : ['share']]
  }

  createWork (request: Partial<WorkRequest> = {}, signal = new AbortController().signal, deadlineMs = 10_000): LocalWork {
    const attemptId = `f${++this.#attempts}.1`
    return {
      attemptId,
      team: 'cooks',
      request: { id: attemptId, kind: 'urgent', name: 'n', size: resources({ slots: 1 }), tasks: 1, deadlineMs, repeatable: true, payload: null, ...request },
      hops: 0,
      deadlineAt: this.clock.monotonicMs() + deadlineMs,
      signal,
      onStateChange: () => {}
    }
  }

  async run (request?: Partial<WorkRequest>, signal?: AbortSignal, deadlineMs?: number): Promise<RunResult> {
    const events: Array<RunEvent['type']> = []
    try {
      for await (const event of this.scheduler.run(this.createWork(request, signal, deadlineMs))) events.push(event.type)
      return { events }
    } catch (error) {
      return { events, refusal: error as RefusalError }
    }
  }

  /** Advances the clock until the run has ended. */
  async finish<Result> (run: Promise<Result>, durationMs = 60_000): Promise<Result> {
    const progress = { pending: true }
    run.finally(() => { progress.pending = false }).catch(() => {})
    for (let passed = 0; progress.pending && passed < durationMs; passed += 100) await this.clock.advance(100)
    if (progress.pending) throw new Error(`the run did not end within ${durationMs} ms`)
    return await run
  }

  /** Removes a target from this instance, as if a successor had fenced it. */
  loseTarget (target: StandInTarget): void {
    target.fence(target.epoch + 1)
    for (const { taskId } of this.placements.held.onTarget(target.info.id)) {
      this.tracker.forget(taskId)
      this.placements.forget(taskId)
    }
    this.pool.removeTarget(target.info.id)
  }

  #addTarget (id: string, type: TargetType, features: TargetFeatures): StandInTarget {
    const info: TargetInfo = {
      id,
      type,
      address: `${id}:1`,
      dataCentre: 'howrah',
      region: 'Kolkata',
      rack: '',
      capacity: resources({ slots: SLOTS }),
      connections: 64,
      features,
      leaving: false
    }
    const target = new StandInTarget(info, this.clock)
    target.fence(1)
    this.client.add(target)
    this.pool.addTarget(info)
    return target
  }

  #createPlacements (maximumEntries: number): PlacementQueue {
    return new PlacementQueue({
      clock: this.clock,
      pool: this.pool,
      queue: new FairQueue<WaitingRequest>({ maximumEntries, maximumBytes: 1e6, clock: this.clock, weightedShare: () => 0 }),
      allotments: {
        trySpend: (_team, taskId) => {
          this.charged.add(taskId)
          return true
        },
        refund: taskId => { this.charged.delete(taskId) },
        surrender: taskId => { this.charged.delete(taskId) },
        adopt: async (_team, taskId) => {
          this.charged.add(taskId)
          await this.adopt()
        }
      },
      ledger: this.ledger,
      probes: { targets: () => new Set(), onPlaced: () => {} },
      onWaiting: () => {}
    })
  }

  #createStarter (): TaskStarter {
    return new TaskStarter({
      clock: this.clock,
      targetClient: this.client,
      ownership: {
        epochOf: targetId => this.pool.find(targetId) === undefined ? undefined : 1,
        reportFenced: targetId => { this.fenced.push(targetId) }
      },
      breaker: this.breaker,
      tracker: this.tracker,
      findTarget: targetId => this.pool.find(targetId)?.info,
      leaseMs: () => LEASE_MS,
      onBreakerChange: () => {},
      onEnded: taskId => this.placements.release(taskId)
    })
  }
}
