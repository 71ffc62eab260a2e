/** Sends a placed task to its target and derives the verdict from the outcome. */
import { RefusalError } from '../../model/errors.ts'
import type { Resources } from '../../model/resources.ts'
import type { TargetInfo } from '../../model/target.ts'
import type { Clock } from '../../ports/clock.ts'
import type { StartResult, TargetClient, TargetRefusal, TaskAnswer } from '../../ports/targetClient.ts'
import type { TargetBreaker } from '../../scheduler/breaker/targetBreaker.ts'
import { CLOCK_SKEW_MS, START_BY_WINDOW_MS } from '../../scheduler/ownership/ownershipTiming.ts'
import type { OwnershipManager } from '../../scheduler/ownership/ownershipManager.ts'
import type { LocalWork } from '../requests/localWork.ts'
import type { TaskEnd, TaskTracker } from './taskTracker.ts'

export interface TaskStarterDependencies {
  readonly clock: Clock
  readonly targetClient: TargetClient
  readonly ownership: Pick<OwnershipManager, 'epochOf' | 'reportFenced'>
  readonly breaker: TargetBreaker
  readonly tracker: TaskTracker
  findTarget (targetId: string): TargetInfo | undefined
  leaseMs (work: LocalWork): number
  /** Called when the circuit breaker of a target opens or closes. */
  onBreakerChange (targetId: string, open: boolean): void
  /** Called once the task has certainly ended or will never start. */
  onEnded (taskId: string): void
}

/** A task whose start request was sent. */
export interface SentTask {
  readonly taskId: string
  readonly target: TargetInfo
  readonly ended: Promise<TaskEnd>
}

export interface StartedTask extends SentTask {
  readonly answer: TaskAnswer
}

export type CertainEnd = Exclude<TaskEnd, { readonly outcome: 'lost' }>

const REFUSAL_MESSAGES: Readonly<Record<TargetRefusal, string>> = {
  'no-capacity': 'the target has too little free capacity for the task',
  fenced: 'the target is fenced: it has a newer owner',
  'too-late': 'the start request reached the target after its start-by time',
  leaving: 'the target is leaving the cluster',
  'unknown-task': 'the task is unknown to the target'
}

export class TaskStarter {
  readonly #dependencies: TaskStarterDependencies
  /** Monotonic time of the latest start request sent to each target. */
  readonly #lastSentAt = new Map<string, number>()

  constructor (dependencies: TaskStarterDependencies) {
    this.#dependencies = dependencies
  }

  /** Resolves when the head of the target's answer arrived; rejects with a `RefusalError`. */
  async start (work: LocalWork, taskId: string, targetId: string, size: Resources, detached: boolean): Promise<StartedTask> {
    const { clock, targetClient, ownership, tracker } = this.#dependencies
    const target = this.#dependencies.findTarget(targetId)
    const epoch = ownership.epochOf(targetId)
    if (target === undefined || epoch === undefined) throw this.#refuse(taskId, 'fenced', 'the target is no longer owned by this instance')
    const leaseMs = this.#dependencies.leaseMs(work)
    const startByWallMs = clock.wallMs() + START_BY_WINDOW_MS
    const ended = tracker.track({ taskId, target, epoch, leaseMs, sentAt: clock.monotonicMs(), startByWallMs })
    ended.then(({ outcome }) => { if (outcome !== 'lost') this.#dependencies.onEnded(taskId) }, () => {})
    work.onStateChange('running', targetId)
    this.#lastSentAt.set(targetId, clock.monotonicMs())
    const { team, request } = work
    const result = await targetClient.start(target, {
      taskId,
      team,
      requestId: request.id,
      kind: request.kind,
      name: request.name,
      size,
      payload: request.payload,
      epoch,
      startByWallMs,
      leaseMs,
      detached
    }, work.signal).catch((error: unknown): StartResult => ({ outcome: 'unknown', message: describeError(error) }))
    const sent = { taskId, target, ended }
    try {
      return { ...sent, answer: await this.#handleResult(work, sent, epoch, result) }
    } finally {
      tracker.consumeCheckpointMark(taskId)
    }
  }

  /** Stops a task; undefined if it may still run at the request's deadline, or runs on under another instance. */
  async stop (work: LocalWork, { taskId, ended }: SentTask): Promise<CertainEnd | undefined> {
    const { clock, tracker } = this.#dependencies
    tracker.stop(taskId)
    if (work.signal.aborted) return undefined
    const waited = new AbortController()
    const timeout = clock.sleep(Math.max(0, work.deadlineAt - clock.monotonicMs()), waited.signal).then(() => undefined, () => undefined)
    const end = await Promise.race([ended, timeout])
    waited.abort()
    return end?.outcome === 'lost' ? undefined : end
  }

  /** Whether this instance currently owns the target. */
  owns (targetId: string): boolean {
    return this.#dependencies.findTarget(targetId) !== undefined && this.#dependencies.ownership.epochOf(targetId) !== undefined
  }

  /** Waits until every start request sent to the target has passed its start-by time; for targets without fencing. */
  async awaitStartByExpiry (targetId: string): Promise<void> {
    const { clock } = this.#dependencies
    const settledAt = (this.#lastSentAt.get(targetId) ?? -Infinity) + START_BY_WINDOW_MS + CLOCK_SKEW_MS
    this.#lastSentAt.delete(targetId)
    const remainingMs = settledAt - clock.monotonicMs()
    if (remainingMs > 0) await clock.sleep(remainingMs)
  }

  async #handleResult (work: LocalWork, sent: SentTask, epoch: number, result: StartResult): Promise<TaskAnswer> {
    const { breaker, ownership, tracker } = this.#dependencies
    const { taskId, target } = sent
    switch (result.outcome) {
      case 'started':
        if (result.answer.taskId !== taskId) {
          discardAnswer(result.answer).catch(() => {})
          throw await this.#settleUnknown(work, sent, 'it answered for another task')
        }
        if (breaker.recordSuccess(target.id) === 'closed') this.#dependencies.onBreakerChange(target.id, false)
        return result.answer
      case 'refused':
        tracker.complete(taskId, { outcome: 'never-started' })
        // The refusal does not contain the epoch that the target has seen, only that it is higher.
        if (result.refusal === 'fenced') ownership.reportFenced(target.id, epoch + 1)
        throw this.#refuse(taskId, result.refusal === 'fenced' ? 'fenced' : 'no-capacity', REFUSAL_MESSAGES[result.refusal])
      case 'failed':
        if (tracker.consumeCheckpointMark(taskId)) {
          tracker.complete(taskId, { outcome: 'ended', state: 'checkpointed' })
          throw new RefusalError('the task was preempted: checkpointed in favour of other work', { code: 'preempted', verdict: 'ran', retryable: true })
        }
        tracker.complete(taskId, { outcome: 'ended', state: 'failed' })
        this.#recordFailure(target.id, taskId)
        throw new RefusalError(`the task failed on its target: ${result.message}`, {
          code: 'target-failed', verdict: 'ran', retryable: true
        })
      case 'unreachable':
        tracker.complete(taskId, { outcome: 'never-started' })
        if (!work.signal.aborted) this.#recordFailure(target.id, taskId)
        throw new RefusalError('failed to connect to the target', { code: 'target-failed', verdict: 'not-run', retryable: true })
      case 'unknown':
        if (!work.signal.aborted) this.#recordFailure(target.id, taskId)
        throw await this.#settleUnknown(work, sent, result.message)
    }
  }

  #recordFailure (targetId: string, taskId: string): void {
    if (this.#dependencies.breaker.recordFailure(targetId, taskId) === 'opened') this.#dependencies.onBreakerChange(targetId, true)
  }

  /** Determines whether a task without a valid answer ran; waits until the request's deadline at most. */
  async #settleUnknown (work: LocalWork, sent: SentTask, message: string): Promise<RefusalError> {
    const end = await this.stop(work, sent)
    if (end === undefined) {
      return new RefusalError(`no valid answer from the target: ${message}`, { code: 'target-failed', verdict: 'may-have-run' })
    }
    const verdict = end.outcome === 'never-started' ? 'not-run' : 'may-have-run'
    return new RefusalError(`no valid answer from the target: ${message}`, { code: 'target-failed', verdict, retryable: true })
  }

  #refuse (taskId: string, code: 'fenced' | 'no-capacity', message: string): RefusalError {
    if (this.#dependencies.tracker.isTracking(taskId)) this.#dependencies.tracker.complete(taskId, { outcome: 'never-started' })
    else this.#dependencies.onEnded(taskId)
    return new RefusalError(message, { code, verdict: 'not-run', retryable: true })
  }
}

function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

/** Releases the connection of an answer that is not read. */
async function discardAnswer ({ body }: TaskAnswer): Promise<void> {
  for await (const bytes of body) if (bytes.byteLength >= 0) return
}
