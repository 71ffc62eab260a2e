/**
 * Renews the leases of the tasks on owned targets, and determines the end of tasks whose outcome is unknown.
 * The capacity and allotment of a task are released only when the task has certainly ended.
 */
import { RefusalError, TargetUnknownError, TargetUnreachableError } from '../../model/errors.ts'
import type { Clock } from '../../ports/clock.ts'
import type { TargetClient } from '../../ports/targetClient.ts'
import { CLOCK_SKEW_MS, START_BY_WINDOW_MS } from '../../scheduler/ownership/ownershipTiming.ts'
import type { TargetInfo, TaskReport, TaskState } from '../../model/target.ts'

/** Number of renewals sent per lease duration. */
const RENEWALS_PER_LEASE = 3
/** Factor by which the clock rates of instances and targets may differ. */
const CLOCK_DRIFT_ALLOWANCE = 1.1
/** Targets that remember ended tasks do so for 10 minutes; 1 minute is reserved for slow calls. */
const ENDED_TASK_RETENTION_MS = 9 * 60_000
/** Delay between attempts to stop a task. */
const SETTLE_INTERVAL_MS = 250

export interface TrackedTask {
  readonly taskId: string
  readonly target: TargetInfo
  readonly epoch: number
  readonly leaseMs: number
  /** Monotonic time when the start request was sent or the task was adopted. */
  readonly sentAt: number
  /** Wall-clock time after which the target no longer starts the task. */
  readonly startByWallMs: number
}

/** How the tracking of a task ended. */
export type TaskEnd =
  | { readonly outcome: 'never-started' }
  | { readonly outcome: 'ended', readonly state: TaskState | 'lease-ended' }
  /** Another instance owns the task now, which may run on. */
  | { readonly outcome: 'lost' }

interface TrackedEntry {
  readonly task: TrackedTask
  readonly abort: AbortController
  finish (end: TaskEnd): void
  /** Monotonic time when the last renewal was sent that may have arrived. */
  lastRenewalAt: number
}

const FINAL_STATES: ReadonlySet<TaskState> = new Set(['finished', 'failed', 'stopped', 'checkpointed'])

export class TaskTracker {
  readonly #clock: Clock
  readonly #client: TargetClient
  readonly #entries = new Map<string, TrackedEntry>()
  readonly #checkpointMarks = new Set<string>()
  readonly #onReport: (report: TaskReport) => void

  constructor (clock: Clock, client: TargetClient, onReport: (report: TaskReport) => void = () => {}) {
    this.#clock = clock
    this.#client = client
    this.#onReport = onReport
  }

  get size (): number {
    return this.#entries.size
  }

  isTracking (taskId: string): boolean {
    return this.#entries.has(taskId)
  }

  /** Starts renewing the task's lease; resolves when the task has certainly ended or was forgotten. */
  track (task: TrackedTask): Promise<TaskEnd> {
    let finish: (end: TaskEnd) => void = () => {}
    const ended = new Promise<TaskEnd>(resolve => { finish = resolve })
    const entry: TrackedEntry = { task, abort: new AbortController(), finish, lastRenewalAt: task.sentAt }
    this.forget(task.taskId)
    this.#entries.set(task.taskId, entry)
    this.#renew(entry).catch(() => {})
    return ended
  }

  /** Records that the task ended, for example because its complete answer arrived. */
  complete (taskId: string, end: TaskEnd): void {
    const entry = this.#entries.get(taskId)
    if (entry === undefined) return
    this.#entries.delete(taskId)
    entry.abort.abort()
    entry.finish(end)
  }

  /** Stops tracking a task that another instance has taken over. */
  forget (taskId: string): void {
    this.complete(taskId, { outcome: 'lost' })
  }

  /** Whether `checkpoint` has, or may have, checkpointed the task; true at most once for each task. */
  consumeCheckpointMark (taskId: string): boolean {
    return this.#checkpointMarks.delete(taskId)
  }

  /** Asks the target to checkpoint the task, which frees its capacity; rejects if the target can't be reached. */
  async checkpoint (taskId: string): Promise<void> {
    const entry = this.#entries.get(taskId)
    if (entry === undefined) return
    this.#checkpointMarks.add(taskId)
    try {
      const { task } = entry
      const requestedWallMs = this.#clock.wallMs()
      this.#applyReport(entry, await this.#client.command(task.target, taskId, task.epoch, 'checkpoint'), requestedWallMs)
    } catch (error) {
      // If the answer was lost, the task may have been checkpointed, and its end must not count as a failure.
      if (!(error instanceof TargetUnknownError)) this.#checkpointMarks.delete(taskId)
      throw error
    }
  }

  /** Stops the task; the promise returned by `track` resolves when the task has certainly ended. */
  stop (taskId: string): void {
    const entry = this.#entries.get(taskId)
    if (entry === undefined) return
    entry.abort.abort()
    this.#settle(entry).catch(() => {})
  }

  async #renew (entry: TrackedEntry): Promise<void> {
    const { task } = entry
    const { signal } = entry.abort
    while (this.#isTracked(entry) && !signal.aborted) {
      await this.#clock.sleep(task.leaseMs / RENEWALS_PER_LEASE, signal)
      const previousRenewalAt = entry.lastRenewalAt
      const requestedWallMs = this.#clock.wallMs()
      try {
        // Recorded before the call, since a renewal without an answer may still have extended the lease.
        entry.lastRenewalAt = this.#clock.monotonicMs()
        this.#applyReport(entry, await this.#client.renew(task.target, task.taskId, task.epoch, task.leaseMs, signal), requestedWallMs)
      } catch (error) {
        if (isFenced(error)) return this.forget(task.taskId)
        if (error instanceof TargetUnreachableError) entry.lastRenewalAt = previousRenewalAt
        if (this.#leaseHasEnded(entry)) this.complete(task.taskId, { outcome: 'ended', state: 'lease-ended' })
      }
    }
  }

  async #settle (entry: TrackedEntry): Promise<void> {
    const { task } = entry
    while (this.#isTracked(entry)) {
      const requestedWallMs = this.#clock.wallMs()
      try {
        this.#applyReport(entry, await this.#client.command(task.target, task.taskId, task.epoch, 'stop'), requestedWallMs)
      } catch (error) {
        // If fenced, a successor renews the lease. After other errors the stop is retried until the lease has ended.
        if (isFenced(error)) return this.forget(task.taskId)
      }
      if (!this.#isTracked(entry)) return
      if (this.#leaseHasEnded(entry)) return this.complete(task.taskId, { outcome: 'ended', state: 'lease-ended' })
      await this.#clock.sleep(SETTLE_INTERVAL_MS)
    }
  }

  /**
   * Applies a target's report. A task that was unknown to the target when it was asked may have started since, until its
   * start-by time has passed.
   */
  #applyReport (entry: TrackedEntry, report: TaskReport | undefined, requestedWallMs: number): void {
    const { task } = entry
    if (report !== undefined) {
      this.#onReport(report)
      if (FINAL_STATES.has(report.state)) this.complete(task.taskId, { outcome: 'ended', state: report.state })
      return
    }
    if (!startByHasPassed(task, requestedWallMs)) return
    const { startBy, remembersEnded } = task.target.features
    const isWithinRetention = this.#clock.monotonicMs() - task.sentAt < ENDED_TASK_RETENTION_MS
    this.complete(task.taskId, startBy && remembersEnded === true && isWithinRetention
      ? { outcome: 'never-started' }
      : { outcome: 'ended', state: 'stopped' })
  }

  #leaseHasEnded (entry: TrackedEntry): boolean {
    const longestLease = entry.task.leaseMs * CLOCK_DRIFT_ALLOWANCE
    // A start request in transit can begin a lease as late as the start-by time.
    return startByHasPassed(entry.task, this.#clock.wallMs()) && this.#clock.monotonicMs() > entry.lastRenewalAt + longestLease + START_BY_WINDOW_MS
  }

  #isTracked (entry: TrackedEntry): boolean {
    return this.#entries.get(entry.task.taskId) === entry
  }
}

function startByHasPassed ({ startByWallMs }: TrackedTask, wallMs: number): boolean {
  return wallMs > startByWallMs + CLOCK_SKEW_MS
}

/** Whether the target has seen a higher epoch, so that a successor owns it and has adopted the task. */
function isFenced (error: unknown): boolean {
  return error instanceof RefusalError && error.code === 'fenced'
}
