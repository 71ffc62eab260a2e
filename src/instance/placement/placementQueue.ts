/** Waits for capacity and allotment: joins the queue, the pool of targets and the team's allotment into one decision. */
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
  /** Memory that the request holds while it waits. */
  readonly bytes: number
  /** Only repeatable work is sent to a target that is being probed. */
  readonly repeatable: boolean
}

/** A waiting request that another instance may be able to start. */
export interface WaitingOffer {
  readonly request: PlacementRequest
  /** There is room here, so that the request waits for an allotment. */
  readonly fitsHere: boolean
  readonly waitedMs: number
}

/** What waits for one team. */
export interface WaitingSum {
  readonly size: Resources
  readonly entries: number
}

const NOTHING_WAITING: WaitingSum = { size: NO_RESOURCES, entries: 0 }

export interface WaitingRequest {
  readonly request: PlacementRequest
  /** Monotonic time at which the wait began. */
  readonly since: number
  settle: (assignments: readonly Assignment[]) => void
  refuse: (error: RefusalError) => void
  assignments: readonly Assignment[]
  /** Why the targets of this instance can never hold the request. */
  neverReason?: string
}

/** Targets that get one task to find out whether they work again. */
export interface ProbeGate {
  targets (): ReadonlySet<string>
  onPlaced (targetId: string, taskId: string): void
}

export interface PlacementQueueDependencies {
  readonly clock: Clock
  readonly pool: TargetPool
  readonly queue: FairQueue<WaitingRequest>
  readonly allotments: Pick<AllotmentManager, 'trySpend' | 'refund' | 'adopt' | 'surrender'>
  readonly ledger: Pick<ShareLedger, 'charge' | 'release'>
  readonly probes: ProbeGate
  /** Called when a request could not be placed at once. */
  onWaiting (request: PlacementRequest): void
}

export class PlacementQueue {
  readonly #dependencies: PlacementQueueDependencies
  /** Tasks that were placed or adopted and have not ended. */
  readonly held = new HeldTasks()
  readonly #waiting = new Map<string, WaitingSum>()
  #closedReason: RefusalError | undefined

  constructor (dependencies: PlacementQueueDependencies) {
    this.#dependencies = dependencies
  }

  get length (): number {
    return this.#dependencies.queue.size
  }

  /**
   * Waits until every task has a target; its reservation and allotment are held until `release`.
   * Rejects with a `RefusalError` that says `not-run`.
   */
  async wait (request: PlacementRequest, signal: AbortSignal): Promise<readonly Assignment[]> {
    if (this.#closedReason !== undefined) throw this.#closedReason
    if (signal.aborted) throw createAborted(signal)
    const { queue, clock } = this.#dependencies
    const settled = new AbortController()
    return await new Promise<readonly Assignment[]>((resolve, reject) => {
      const waiting: WaitingRequest = { request, since: clock.monotonicMs(), settle: resolve, refuse: reject, assignments: [] }
      const entry = createEntry(waiting)
      const { accepted, shed } = queue.push(entry)
      for (const victim of shed) this.#refuse(victim, createShed())
      if (!accepted) return reject(createShed())
      this.#countWaiting(request, 1)
      const onAbort = (): void => {
        if (queue.remove(entry)) this.#refuse(entry, createAborted(signal))
      }
      signal.addEventListener('abort', onAbort)
      settled.signal.addEventListener('abort', () => signal.removeEventListener('abort', onAbort))
      this.pump()
      if (waiting.neverReason !== undefined && queue.remove(entry)) this.#refuse(entry, createNever(waiting.neverReason))
      else if (waiting.assignments.length === 0) this.#dependencies.onWaiting(request)
    }).finally(() => settled.abort())
  }

  /** Sum of the sizes of the team's waiting requests, and their number. */
  waiting (team: string): WaitingSum {
    return this.#waiting.get(team) ?? NOTHING_WAITING
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

  /** Sends waiting requests back to be routed anew where `decide` says that another instance can start them. */
  offerElsewhere (decide: (offer: WaitingOffer) => boolean): void {
    const { queue, pool, clock } = this.#dependencies
    const largestFree = pool.largestFree()
    const now = clock.monotonicMs()
    for (const entry of [...queue.entries()]) {
      const { request, since } = entry.value
      const fitsHere = fits(request.size, largestFree)
      if (decide({ request, fitsHere, waitedMs: now - since }) && queue.remove(entry)) this.#refuse(entry, createRerouted())
    }
  }

  /** Starts everything that fits now. */
  pump (): void {
    const { queue } = this.#dependencies
    for (let entry = queue.next(this.#accept); entry !== undefined; entry = queue.next(this.#accept)) {
      this.#countWaiting(entry.value.request, -1)
      entry.value.settle(entry.value.assignments)
    }
  }

  /** Ends the hold of a task that has certainly ended. */
  release (taskId: string): void {
    const task = this.held.remove(taskId)
    if (task === undefined) return
    this.#dependencies.pool.release(taskId)
    this.#dependencies.ledger.release(task.team, task.size)
    this.#dependencies.allotments.refund(taskId)
    this.pump()
  }

  /** Holds a task that was found on a target; resolves when the team's allotment covers it. */
  async adopt (task: HeldTask, previousOwner: InstanceRef | undefined): Promise<void> {
    const { taskId, targetId, team, size, kind } = task
    if (!this.#dependencies.pool.reserve(targetId, taskId, team, size, kind)) {
      throw new Error(`target ${targetId} reports more running than it has: task ${taskId} exceeds its capacity`)
    }
    // Repeated while the store is down.
    if (this.held.find(taskId) === undefined) {
      this.held.add(task)
      this.#dependencies.ledger.charge(team, size)
    }
    await this.#dependencies.allotments.adopt(team, taskId, size, previousOwner)
  }

  /** Forgets a task that runs on under a successor; its charge stays until `surrender`. */
  forget (taskId: string): void {
    const task = this.held.remove(taskId)
    if (task === undefined) return
    this.#dependencies.pool.release(taskId)
    this.#dependencies.ledger.release(task.team, task.size)
  }

  /** Refuses the requests whose deadline has come. */
  expire (now: number): void {
    for (const entry of this.#dependencies.queue.expire(now)) {
      this.#refuse(entry, new RefusalError('no capacity became free before the deadline', { code: 'deadline', verdict: 'not-run' }))
    }
  }

  /** Refuses what waits and what comes, so that other instances take it; used in a drain. */
  close (): void {
    this.#closedReason = new RefusalError('the instance is draining', { code: 'draining', verdict: 'not-run', retryable: true })
    for (const entry of [...this.#dependencies.queue.entries()]) {
      this.#dependencies.queue.remove(entry)
      this.#refuse(entry, this.#closedReason)
    }
  }

  readonly #accept = (entry: QueueEntry<WaitingRequest>): Acceptance => {
    const { request } = entry.value
    if (!this.#trySpend(request)) return 'limited'
    const { team, size, taskIds, kind, repeatable } = request
    const { pool, probes } = this.#dependencies
    const excludeTargets = repeatable ? undefined : probes.targets()
    const result = pool.place({ workload: findWorkload(kind), team, size, taskIds, excludeTargets })
    if (result.outcome !== 'placed') {
      this.#refund(taskIds)
      if (result.outcome !== 'never') return false
      // Free capacity would not help what the targets here could not hold even if they were idle.
      entry.value.neverReason = result.reason
      return 'limited'
    }
    entry.value.assignments = result.assignments
    for (const assignment of result.assignments) this.#hold(request, assignment)
    return true
  }

  #hold ({ team, requestId, kind, size, repeatable }: PlacementRequest, { taskId, targetId }: Assignment): void {
    const { clock, ledger, probes } = this.#dependencies
    this.held.add({ taskId, targetId, team, requestId, kind, size, repeatable, startedAt: clock.monotonicMs() })
    ledger.charge(team, size)
    probes.onPlaced(targetId, taskId)
  }

  #refuse (entry: QueueEntry<WaitingRequest>, error: RefusalError): void {
    this.#countWaiting(entry.value.request, -1)
    entry.value.refuse(error)
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

function createRerouted (): RefusalError {
  return new RefusalError('another instance may be able to start the request', { code: 'no-capacity', verdict: 'not-run', retryable: true })
}

/** Another instance may own larger targets. */
function createNever (reason: string): RefusalError {
  return new RefusalError(reason, { code: 'no-capacity', verdict: 'not-run', retryable: true })
}

function createShed (): RefusalError {
  return new RefusalError('the queue is full', { code: 'shed', verdict: 'not-run' })
}

/** Nothing was sent, whatever the reason for the abort says. */
function createAborted ({ reason }: AbortSignal): RefusalError {
  if (reason instanceof RefusalError) return new RefusalError(reason.message, { code: reason.code, verdict: 'not-run' })
  return new RefusalError('the request was cancelled before it started', { code: 'cancelled', verdict: 'not-run' })
}
