/** Runs requests on the targets that this instance owns: places and claims them, starts their tasks and streams the answer. */
import { RefusalError } from '../../model/errors.ts'
import type { InstanceRef } from '../../model/identity.ts'
import type { Resources } from '../../model/resources.ts'
import { combineVerdicts } from '../../model/verdict.ts'
import type { Verdict } from '../../model/verdict.ts'
import type { Clock } from '../../ports/clock.ts'
import type { RunEvent } from '../../ports/peerClient.ts'
import type { ClaimClient } from '../../scheduler/claims/claimClient.ts'
import type { Assignment } from '../../scheduler/placement/targetPool.ts'
import { findWorkload } from '../../workloads/registry.ts'
import { claimHolder, createCompleteAnswer } from '../requests/localWork.ts'
import type { LocalWork } from '../requests/localWork.ts'
import type { PlacementQueue } from './placementQueue.ts'
import { createTaskIds } from './taskIds.ts'
import type { StartedTask, TaskStarter } from '../tasks/taskStarter.ts'
import type { TaskEnd, TaskTracker } from '../tasks/taskTracker.ts'

/** Estimated memory of a waiting request, excluding its payload. */
const REQUEST_OVERHEAD_BYTES = 1_024

/** After this time without an answer to a claim, the reserved capacity is released before the next attempt. */
const CLAIM_TIMEOUT_MS = 2_000
const CLAIM_RETRY_INTERVAL_MS = 500

/** Receives scheduling events for metrics. */
export interface SchedulingObserver {
  onPlaced (work: LocalWork, waitedMs: number): void
  onFinished (work: LocalWork, ranMs: number): void
}

export interface LocalSchedulerDependencies {
  readonly self: InstanceRef
  readonly clock: Clock
  readonly placements: PlacementQueue
  readonly claims: Pick<ClaimClient, 'claim'>
  readonly starter: TaskStarter
  readonly tracker: TaskTracker
  readonly observer: SchedulingObserver
  /** Called for each task that runs on after the answer. */
  onDetached (work: LocalWork, ended: Promise<TaskEnd>): void
  /** The size to reserve, estimated from earlier usage. */
  estimateSize (team: string, work: LocalWork['request']): Resources
}

export class LocalScheduler {
  readonly #dependencies: LocalSchedulerDependencies

  constructor (dependencies: LocalSchedulerDependencies) {
    this.#dependencies = dependencies
  }

  /** Runs one attempt; throws a `RefusalError` if it fails before the answer's head, and interrupts the answer after it. */
  async * run (work: LocalWork): AsyncIterable<RunEvent> {
    const { clock, observer, self } = this.#dependencies
    const arrivedAt = clock.monotonicMs()
    const size = this.#dependencies.estimateSize(work.team, work.request)
    const assignments = await this.#placeAndClaim(work, size)
    const placedAt = clock.monotonicMs()
    observer.onPlaced(work, placedAt - arrivedAt)
    let taskStartBegun = false
    try {
      yield { type: 'accepted', owner: self }
      taskStartBegun = true
      if (findWorkload(work.request.kind).detached) yield * this.#startDetached(work, assignments, size)
      else yield * this.#runAttached(work, assignments[0]!, size)
    } catch (error) {
      throw markClaimed(error, !work.request.repeatable)
    } finally {
      // The consumer may have closed the iterator instead of asking for the next event.
      if (!taskStartBegun) this.#releaseAll(assignments)
      observer.onFinished(work, clock.monotonicMs() - placedAt)
    }
  }

  /** If the store is unavailable, a request that must be claimed waits for it without holding capacity. */
  async #placeAndClaim (work: LocalWork, size: Resources): Promise<readonly Assignment[]> {
    const { clock } = this.#dependencies
    for (let mayBeClaimed = false; ; mayBeClaimed = true) {
      const assignments = await this.#place(work, size).catch((error: unknown) => { throw markClaimed(error, mayBeClaimed) })
      if (work.request.repeatable || await this.#claim(work, assignments)) return assignments
      this.#releaseAll(assignments)
      await clock.sleep(Math.min(CLAIM_RETRY_INTERVAL_MS, Math.max(0, work.deadlineAt - clock.monotonicMs())), work.signal).catch(() => {})
      if (work.signal.aborted || clock.monotonicMs() >= work.deadlineAt) {
        throw new RefusalError('the claim of the non-repeatable request could not be recorded before its deadline', {
          code: 'claim-unavailable', verdict: 'not-run', claimed: true
        })
      }
    }
  }

  async #place (work: LocalWork, size: Resources): Promise<readonly Assignment[]> {
    const { team, request, hops, deadlineAt, signal } = work
    const { kind, tasks, repeatable } = request
    const taskIds = createTaskIds(work.attemptId, tasks)
    const bytes = REQUEST_OVERHEAD_BYTES + JSON.stringify(request.payload ?? null).length
    return await this.#dependencies.placements.wait({ team, requestId: request.id, kind, size, taskIds, deadlineAt, bytes, repeatable, hops }, signal)
  }

  /** Claims the request ID; false if the outcome is unknown, in which case nothing may be sent. */
  async #claim (work: LocalWork, assignments: readonly Assignment[]): Promise<boolean> {
    const { request, team, attemptId, deadlineAt, signal } = work
    const { clock, claims } = this.#dependencies
    work.onStateChange('claiming', assignments[0]!.targetId)
    const claimDeadlineAt = Math.min(deadlineAt, clock.monotonicMs() + CLAIM_TIMEOUT_MS)
    const outcome = await claims.claim(team, request.id, claimHolder(attemptId), claimDeadlineAt).catch(() => 'unavailable' as const)
    if (outcome === 'unavailable') return false
    if (outcome === 'claimed' && !signal.aborted) return true
    this.#releaseAll(assignments)
    if (outcome === 'claimed') {
      throw new RefusalError('the request was cancelled before it started', { code: 'cancelled', verdict: 'not-run', claimed: true })
    }
    throw new RefusalError(`request ${request.id} was sent before`, { code: 'duplicate', verdict: 'may-have-run' })
  }

  async * #runAttached (work: LocalWork, assignment: Assignment, size: Resources): AsyncIterable<RunEvent> {
    const { tracker, starter } = this.#dependencies
    const started = await starter.start(work, assignment.taskId, assignment.targetId, size, false)
    try {
      for await (const event of streamAnswer(started)) {
        // The task is completed before the `end` event is yielded, since consumers may stop iterating at that event.
        if (event.type === 'end') tracker.complete(started.taskId, { outcome: 'ended', state: 'finished' })
        yield event
      }
    } finally {
      if (tracker.isTracking(started.taskId)) tracker.stop(started.taskId)
    }
  }

  /** Starts every task; if one can't be started, stops the others, so that a gang runs completely or not at all. */
  async * #startDetached (work: LocalWork, assignments: readonly Assignment[], size: Resources): AsyncIterable<RunEvent> {
    const { starter } = this.#dependencies
    // A target may have been lost while the claim was written; starting the other tasks of a gang would then be useless.
    if (!assignments.every(({ targetId }) => starter.owns(targetId))) {
      this.#releaseAll(assignments)
      throw new RefusalError('a target is no longer owned by this instance', { code: 'fenced', verdict: 'not-run', retryable: true })
    }
    const results = await Promise.allSettled(assignments.map(({ taskId, targetId }) =>
      starter.start(work, taskId, targetId, size, true)))
    const failures = results.flatMap(result => result.status === 'rejected' ? [result.reason as unknown] : [])
    const started = results.flatMap(result => result.status === 'fulfilled' ? [result.value] : [])
    if (failures.length > 0) throw await this.#stopPartial(work, started, failures)
    for (const task of started) await drainAnswer(task)
    for (const { ended } of started) this.#dependencies.onDetached(work, ended)
    const tasks = started.map(({ taskId, target }) => ({ taskId, target: target.id }))
    const body = Buffer.from(JSON.stringify({ id: work.request.id, started: true, tasks }) + '\n')
    yield * createCompleteAnswer(tasks.map(({ target }) => target).join(','), 'application/json', body)
  }

  async #stopPartial (work: LocalWork, started: readonly StartedTask[], failures: readonly unknown[]): Promise<RefusalError> {
    const { starter } = this.#dependencies
    for (const task of started) drainAnswer(task).catch(() => {})
    const endStates = await Promise.all(started.map(async task => await starter.stop(work, task)))
    const refusals = failures.map(failure => failure instanceof RefusalError
      ? failure
      : new RefusalError(`a task could not be started: ${String(failure)}`, { code: 'target-failed', verdict: 'may-have-run' }))
    const { message, code } = refusals[0]!
    const verdict = combineVerdicts([...refusals.map(refusal => refusal.verdict), ...started.map((): Verdict => 'ran')])
    const retryable = refusals.every(refusal => refusal.retryable) && !endStates.includes(undefined)
    return new RefusalError(message, { code, verdict, retryable })
  }

  #releaseAll (assignments: readonly Assignment[]): void {
    for (const { taskId } of assignments) this.#dependencies.placements.release(taskId)
  }
}

async function * streamAnswer ({ answer, target }: StartedTask): AsyncIterable<RunEvent> {
  yield { type: 'head', target: target.id, contentType: answer.contentType }
  let byteCount = 0
  for await (const bytes of answer.body) {
    byteCount += bytes.byteLength
    yield { type: 'chunk', bytes }
  }
  yield { type: 'end', byteCount }
}

function markClaimed (error: unknown, claimed: boolean): unknown {
  if (!claimed || !(error instanceof RefusalError)) return error
  const { code, verdict, retryable } = error
  return new RefusalError(error.message, { code, verdict, retryable, claimed, cause: error })
}

async function drainAnswer ({ answer }: StartedTask): Promise<void> {
  try {
    for await (const bytes of answer.body) if (bytes.byteLength === 0) break
  } catch {
    // The task has started; only the body of the answer to the start is incomplete.
  }
}
