/** Queues requests until target capacity and the team's allotment allow their placement. */
import { RefusalError } from '../../model/errors.ts'
import type { InstanceRef } from '../../model/identity.ts'
import type { KindName } from '../../model/request.ts'
import { addResources, fits, NO_RESOURCES, scaleResources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { Clock } from '../../ports/clock.ts'
import type { AllotmentManager } from '../../scheduler/limits/allotmentManager.ts'
import type { Assignment, TargetPool } from '../../scheduler/placement/targetPool.ts'
import type { Acceptance, FairQueue, QueueEntry } from '../../scheduler/queue/fairQueue.ts'
import type { ShareLedger } from '../../scheduler/shares/shareLedger.ts'
import { HeldTasks } from '../tasks/heldTasks.ts'
import type { HeldTask } from '../tasks/heldTasks.ts'
import { findWorkload } from '../../workloads/registry.ts'

export interface PlacementRequest {
  readonly team: string
  readonly requestId: string
  readonly kind: KindName
  /** Size of each task. */
  readonly size: Resources
  readonly taskIds: readonly string[]
  readonly deadlineAt: number
  /** Estimated memory of the request while it waits. */
  readonly bytes: number
  /** Only repeatable work is sent to a target that is being probed. */
  readonly repeatable: boolean
  /** Hops that the request has taken, as counted by the router. */
  readonly hops: number
}

/** A waiting request that another instance may be able to start. */
export interface RerouteCandidate {
  readonly request: PlacementRequest
  /** The size fits a target of this instance, so that the request waits for an allotment. */
  readonly fitsLocally: boolean
  readonly waitedMs: number
}

/** Total demand of the waiting requests of one team. */
export interface WaitingDemand {
  readonly size: Resources
  readonly entries: number
}

const NO_WAITING_DEMAND: WaitingDemand = { size: NO_RESOURCES, entries: 0 }

export interface WaitingRequest {
  readonly request: PlacementRequest
  /** Monotonic time when the request was queued. */
  readonly waitingSince: number
  resolve: (assignments: readonly Assignment[]) => void
  reject: (error: RefusalError) => void
  assignments: readonly Assignment[]
  /** Why the request can never be placed on the targets of this instance. */
  unplaceableReason?: string
}

/** Targets out of use that are given one task as a probe of whether they work again. */
export interface ProbeTargets {
  targets (): ReadonlySet<string>
  onPlaced (targetId: string, taskId: string): void
}

export interface PlacementQueueDependencies {
  readonly clock: Clock
  readonly pool: TargetPool
  readonly queue: FairQueue<WaitingRequest>
  readonly allotments: Pick<AllotmentManager, 'trySpend' | 'refund' | 'adopt' | 'surrender'>
  readonly ledger: Pick<ShareLedger, 'charge' | 'release'>
  readonly probes: ProbeTargets
  /** Called when a request could not be placed immediately. */
  onWaiting (request: PlacementRequest): void
}

export class PlacementQueue {
  readonly #dependencies: PlacementQueueDependencies
  /** Tasks that were placed or adopted and have not ended. */
  readonly held = new HeldTasks()
  readonly #waiting = new Map<string, WaitingDemand>()
  #closedRefusal: RefusalError | undefined

  constructor (dependencies: PlacementQueueDependencies) {
    this.#dependencies = dependencies
  }

  get length (): number {
    return this.#dependencies.queue.size
  }

  /**
   * Waits until every task has a target; its reservation and allotment are held until `release`.
   * Rejects with a `RefusalError` whose verdict is `not-run`.
   */
  async wait (request: PlacementRequest, signal: AbortSignal): Promise<readonly Assignment[]> {
    if (this.#closedRefusal !== undefined) throw this.#closedRefusal
    if (signal.aborted) throw createAbortRefusal(signal)
    const { queue, clock } = this.#dependencies
    const settled = new AbortController()
    return await new Promise<readonly Assignment[]>((resolve, reject) => {
      const waiting: WaitingRequest = { request, waitingSince: clock.monotonicMs(), resolve, reject, assignments: [] }
      const entry = createEntry(waiting)
      const { accepted, shed } = queue.push(entry)
      for (const shedEntry of shed) this.#refuse(shedEntry, createShedRefusal())
      if (!accepted) return reject(createShedRefusal())
      this.#countWaiting(request, 1)
      const onAbort = (): void => {
        if (queue.remove(entry)) this.#refuse(entry, createAbortRefusal(signal))
      }
      signal.addEventListener('abort', onAbort)
      settled.signal.addEventListener('abort', () => signal.removeEventListener('abort', onAbort))
      this.pump()
      if (waiting.unplaceableReason !== undefined && queue.remove(entry)) this.#refuse(entry, createUnplaceableRefusal(waiting.unplaceableReason))
      else if (waiting.assignments.length === 0) this.#dependencies.onWaiting(request)
    }).finally(() => settled.abort())
  }

  /** Total size and number of the team's waiting requests. */
  waiting (team: string): WaitingDemand {
    return this.#waiting.get(team) ?? NO_WAITING_DEMAND
  }

  /** Number of waiting requests by team and kind. */
  waitingByKind (): ReadonlyMap<string, ReadonlyMap<KindName, number>> {
    const counts = new Map<string, Map<KindName, number>>()
    for (const { team, kind } of this.#dependencies.queue.entries()) {
      const kinds = counts.get(team) ?? new Map<KindName, number>()
      kinds.set(kind, (kinds.get(kind) ?? 0) + 1)
      counts.set(team, kinds)
    }
    return counts
  }

  /** Refuses the waiting requests for which `decide` returns true, so that the dispatcher routes them to another instance. */
  rerouteWaiting (decide: (offer: RerouteCandidate) => boolean): void {
    const { queue, pool, clock } = this.#dependencies
    const largestFree = pool.largestFree()
    const now = clock.monotonicMs()
    for (const entry of [...queue.entries()]) {
      const { request, waitingSince } = entry.value
      const fitsLocally = fits(request.size, largestFree)
      if (decide({ request, fitsLocally, waitedMs: now - waitingSince }) && queue.remove(entry)) this.#refuse(entry, createRerouteRefusal())
    }
  }

  /** Places every waiting request that fits now. */
  pump (): void {
    const { queue } = this.#dependencies
    for (let entry = queue.next(this.#tryPlace); entry !== undefined; entry = queue.next(this.#tryPlace)) {
      this.#countWaiting(entry.value.request, -1)
      entry.value.resolve(entry.value.assignments)
    }
  }

  /** Releases the capacity and allotment of a task that has certainly ended. */
  release (taskId: string): void {
    const task = this.held.remove(taskId)
    if (task === undefined) return
    this.#dependencies.pool.release(taskId)
    this.#dependencies.ledger.release(task.team, task.size)
    this.#dependencies.allotments.refund(taskId)
    this.pump()
  }

  /** Reserves capacity for a task that was found on a target; resolves when the team's allotment covers it. */
  async adopt (task: HeldTask, previousOwner: InstanceRef | undefined): Promise<void> {
    const { taskId, targetId, team, size, kind } = task
    if (!this.#dependencies.pool.reserve(targetId, taskId, team, size, kind)) {
      throw new Error(`target ${targetId} reports tasks beyond its capacity: no capacity left for task ${taskId}`)
    }
    // Adoption is retried while the store is unavailable; the task is charged only once.
    if (this.held.find(taskId) === undefined) {
      this.held.add(task)
      this.#dependencies.ledger.charge(team, size)
    }
    await this.#dependencies.allotments.adopt(team, taskId, size, previousOwner)
  }

  /** Drops a task that runs on under another owner; its allotment stays charged until `surrender`. */
  forget (taskId: string): void {
    const task = this.held.remove(taskId)
    if (task === undefined) return
    this.#dependencies.pool.release(taskId)
    this.#dependencies.ledger.release(task.team, task.size)
  }

  /** Refuses requests whose deadline has passed. */
  expire (now: number): void {
    for (const entry of this.#dependencies.queue.expire(now)) {
      this.#refuse(entry, new RefusalError('no capacity became free before the deadline', { code: 'deadline', verdict: 'not-run' }))
    }
  }

  /** Refuses waiting and new requests, so that other instances run them; used in a drain. */
  close (): void {
    this.#closedRefusal = new RefusalError('the instance is draining', { code: 'draining', verdict: 'not-run', retryable: true })
    for (const entry of [...this.#dependencies.queue.entries()]) {
      this.#dependencies.queue.remove(entry)
      this.#refuse(entry, this.#closedRefusal)
    }
  }

  readonly #tryPlace = (entry: QueueEntry<WaitingRequest>): Acceptance => {
    const { request } = entry.value
    if (!this.#trySpend(request)) return 'limited'
    const { team, size, taskIds, kind, repeatable } = request
    const { pool, probes } = this.#dependencies
    const excludeTargets = repeatable ? undefined : probes.targets()
    const result = pool.place({ workload: findWorkload(kind), team, size, taskIds, excludeTargets })
    if (result.outcome !== 'placed') {
      this.#refund(taskIds)
      if (result.outcome !== 'never') return false
      // Waiting is pointless, since the request would not fit even if all targets of this instance were idle.
      entry.value.unplaceableReason = result.reason
      return 'limited'
    }
    entry.value.assignments = result.assignments
    for (const assignment of result.assignments) this.#recordPlacement(request, assignment)
    return true
  }

  #recordPlacement ({ team, requestId, kind, size, repeatable }: PlacementRequest, { taskId, targetId }: Assignment): void {
    const { clock, ledger, probes } = this.#dependencies
    this.held.add({ taskId, targetId, team, requestId, kind, size, repeatable, startedAt: clock.monotonicMs() })
    ledger.charge(team, size)
    probes.onPlaced(targetId, taskId)
  }

  #refuse (entry: QueueEntry<WaitingRequest>, error: RefusalError): void {
    this.#countWaiting(entry.value.request, -1)
    entry.value.reject(error)
  }

  #countWaiting ({ team, size, taskIds }: PlacementRequest, sign: 1 | -1): void {
    const { entries, size: sum } = this.waiting(team)
    const next = { entries: entries + sign, size: addResources(sum, scaleResources(size, sign * taskIds.length)) }
    if (next.entries === 0) this.#waiting.delete(team)
    else this.#waiting.set(team, next)
  }

  #trySpend ({ team, size, taskIds }: PlacementRequest): boolean {
    const spent: string[] = []
    for (const taskId of taskIds) {
      if (!this.#dependencies.allotments.trySpend(team, taskId, size)) {
        this.#refund(spent)
        return false
      }
      spent.push(taskId)
    }
    return true
  }

  #refund (taskIds: readonly string[]): void {
    for (const taskId of taskIds) this.#dependencies.allotments.refund(taskId)
  }
}

function createEntry (value: WaitingRequest): QueueEntry<WaitingRequest> {
  const { team, kind, size, taskIds, bytes, deadlineAt } = value.request
  return { team, kind, urgency: findWorkload(kind).urgency, size, tasks: taskIds.length, bytes, deadlineAt, value }
}

function createRerouteRefusal (): RefusalError {
  return new RefusalError('another instance may be able to start the request', { code: 'no-capacity', verdict: 'not-run', retryable: true })
}

/** Retryable, since another instance may own larger targets. */
function createUnplaceableRefusal (reason: string): RefusalError {
  return new RefusalError(reason, { code: 'no-capacity', verdict: 'not-run', retryable: true })
}

function createShedRefusal (): RefusalError {
  return new RefusalError('the queue is full', { code: 'shed', verdict: 'not-run' })
}

/** The verdict is `not-run` whatever the abort reason's verdict is, since nothing was sent. */
function createAbortRefusal ({ reason }: AbortSignal): RefusalError {
  if (reason instanceof RefusalError) return new RefusalError(reason.message, { code: reason.code, verdict: 'not-run' })
  return new RefusalError('the request was cancelled before it started', { code: 'cancelled', verdict: 'not-run' })
}
