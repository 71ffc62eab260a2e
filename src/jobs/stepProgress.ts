/** Progress of the tasks of one step in one occurrence of its job. */
import { isCulprit, NO_CRASHES, recordCrash, requiresIsolation } from './crashHistory.ts'
import type { CrashEvidence, CrashHistory } from './crashHistory.ts'
import type { RunEnd } from '../ports/jobTarget.ts'
import { formatTaskName } from './job.ts'
import type { StepDefinition } from './job.ts'
import type { JobProgress } from './jobProgress.ts'
import type { StepSnapshot } from './jobRecords.ts'

export type TaskState = 'waiting' | 'assigned' | 'done'

export class TaskProgress {
  readonly step: StepProgress
  readonly index: number
  readonly name: string
  state: TaskState = 'waiting'
  /** Highest known attempt number. */
  attempt = 0
  /** Numbers of the attempts whose ends are known. */
  endedAttempts: readonly number[] = []
  failures = 0
  checkpoint = ''
  /** Key of the target incarnation on which the highest attempt runs or may run; empty for none. */
  placedOn = ''
  /** Whether that incarnation has certainly begun the run of the highest attempt, so that its start is not in transit any more. */
  isStarted = false
  /** How long after the last record about it the start of the highest attempt may be executed, in milliseconds; infinite without one. */
  startExpiresInMs = Infinity
  crashHistory: CrashHistory = NO_CRASHES

  constructor (step: StepProgress, index: number) {
    this.step = step
    this.index = index
    this.name = formatTaskName({ job: step.job.id, occurrence: step.occurrence, step: step.number, index })
  }
}

export class StepProgress {
  readonly job: JobProgress
  readonly occurrence: number
  readonly number: number
  readonly definition: StepDefinition
  readonly tasks: readonly TaskProgress[]
  /** Number of tasks that are not done. */
  #remainingTasks: number
  /** Highest failed attempt number of the gang. */
  #failedGangAttempt = 0
  #gangFailures = 0
  #gangCheckpoint = ''
  #hasCrashes = false

  constructor (job: JobProgress, occurrence: number, number: number, definition: StepDefinition) {
    this.job = job
    this.occurrence = occurrence
    this.number = number
    this.definition = definition
    this.#remainingTasks = definition.count
    this.tasks = Array.from({ length: definition.count }, (_, index) => new TaskProgress(this, index))
  }

  get name (): string {
    return `${this.job.id}.${this.occurrence}.${this.number}`
  }

  get done (): boolean {
    return this.#remainingTasks === 0
  }

  /** Tasks that can be placed now; for a gang, all of its tasks or none. */
  get waiting (): readonly TaskProgress[] {
    const waiting = this.tasks.filter(task => task.state === 'waiting')
    return this.definition.gang && waiting.length < this.tasks.length ? [] : waiting
  }

  /** Attempt number for the next start of a task; the members of a gang share it. */
  nextAttempt (task: TaskProgress): number {
    const latestAttempt = this.definition.gang ? Math.max(...this.tasks.map(member => member.attempt)) : task.attempt
    return latestAttempt + 1
  }

  /** Checkpoint from which the next attempt resumes; the checkpoint of any member is valid for its whole gang. */
  checkpointOf (task: TaskProgress): string {
    return this.definition.gang ? this.#gangCheckpoint : task.checkpoint
  }

  saveCheckpoint (task: TaskProgress, checkpoint: string): void {
    if (checkpoint === '') return
    task.checkpoint = checkpoint
    this.#gangCheckpoint = checkpoint
  }

  /** Applies the end of a run; returns false if nothing changed, for example because the end was already known. */
  applyRunEnd (index: number, attempt: number, end: RunEnd, checkpoint: string): boolean {
    const task = this.tasks[index]
    if (task === undefined || task.state === 'done' || task.endedAttempts.includes(attempt)) return false
    const superseded = attempt < task.attempt
    task.endedAttempts = [...task.endedAttempts, attempt]
    task.attempt = Math.max(task.attempt, attempt)
    if (!superseded) this.saveCheckpoint(task, checkpoint)
    if (end === 'done' && !this.definition.longRunning) this.#markDone(task)
    else if (!superseded) this.#release(task)
    if (end === 'failed' && !this.definition.longRunning) this.#countFailure(task, attempt)
    return true
  }

  /** Releases the task of a run that has certainly stopped but whose end is not known. */
  releaseLostRun (task: TaskProgress, attempt: number): void {
    if (task.state === 'assigned' && task.attempt === attempt) this.#release(task)
  }

  /**
   * Records the target on which an attempt is about to be started; returns false if the task is done, or if this or a
   * later attempt is known.
   */
  recordPlacement (index: number, attempt: number, targetKey: string): boolean {
    const task = this.tasks[index]
    if (task === undefined || task.state === 'done' || attempt <= task.attempt) return false
    task.attempt = attempt
    task.state = 'assigned'
    task.placedOn = targetKey
    task.isStarted = false
    task.startExpiresInMs = Infinity
    return true
  }

  /** Records that the target has begun the run of the attempt; returns false if that is not the one that is placed. */
  recordStart (index: number, attempt: number): boolean {
    const task = this.tasks[index]
    if (task?.state !== 'assigned' || task.attempt !== attempt) return false
    task.isStarted = true
    return true
  }

  /** Records for how long the start of the attempt may still be executed; no effect if that is not the one that is placed. */
  recordStartExpiry (index: number, attempt: number, remainingMs: number): void {
    const task = this.tasks[index]
    if (task?.state === 'assigned' && task.attempt === attempt) task.startExpiresInMs = Math.min(task.startExpiresInMs, remainingMs)
  }

  /** Tasks whose next run must have its target to itself. */
  get suspectedTasks (): readonly TaskProgress[] {
    if (!this.#hasCrashes) return []
    const suspected = this.tasks.filter(({ crashHistory }) => requiresIsolation(crashHistory))
    return this.definition.gang && suspected.length > 0 ? this.tasks : suspected
  }

  /** Whether the task's next run must have its target to itself; a gang is isolated as a whole. */
  isSuspected (task: TaskProgress): boolean {
    if (!this.#hasCrashes) return false
    return (this.definition.gang ? this.tasks : [task]).some(({ crashHistory }) => requiresIsolation(crashHistory))
  }

  /**
   * Records that a target crashed under a run. The run itself is released like any other that is lost. Each member of a
   * gang has crashes of its own: a wide gang meets unrelated ones on several of its targets.
   */
  recordCrash (index: number, attempt: number, evidence: CrashEvidence, target: string): void {
    const task = this.tasks[index]
    if (task === undefined || task.state === 'done') return
    this.#hasCrashes = true
    task.crashHistory = recordCrash(task.crashHistory, attempt, evidence, target)
    this.#failIfCulprit(task)
  }

  #release (task: TaskProgress): void {
    task.state = 'waiting'
    task.placedOn = ''
    task.isStarted = false
  }

  toSnapshot (): StepSnapshot {
    return {
      tasks: this.tasks.map(({ state, attempt, endedAttempts, failures, checkpoint, placedOn, isStarted, startExpiresInMs, crashHistory }) => ({
        done: state === 'done',
        attempt,
        endedAttempts,
        failures,
        checkpoint,
        placedOn,
        ...(isStarted && state === 'assigned' ? { started: true as const } : {}),
        ...(startExpiresInMs < Infinity && state === 'assigned' ? { startExpiresInMs } : {}),
        ...(crashHistory === NO_CRASHES ? {} : { crashHistory })
      })),
      gangFailures: this.#gangFailures,
      failedGangAttempt: this.#failedGangAttempt,
      gangCheckpoint: this.#gangCheckpoint
    }
  }

  restore ({ tasks, gangFailures, failedGangAttempt, gangCheckpoint }: StepSnapshot): void {
    this.#gangFailures = gangFailures
    this.#failedGangAttempt = failedGangAttempt
    this.#gangCheckpoint = gangCheckpoint
    this.#hasCrashes = tasks.some(({ crashHistory }) => crashHistory !== undefined)
    for (const [index, { done, started, ...fields }] of tasks.entries()) {
      const task = this.tasks[index]
      if (task === undefined) continue
      Object.assign(task, fields)
      task.isStarted = started === true
      if (done && task.state !== 'done') {
        task.state = 'done'
        this.#remainingTasks -= 1
      } else if (fields.placedOn !== '') {
        task.state = 'assigned'
      }
    }
    for (const task of this.tasks) {
      this.#failIfCulprit(task)
      this.#failIfExhausted(task)
    }
  }

  /** Marks the task as done; one done member completes its whole gang. */
  #markDone (task: TaskProgress): void {
    const finished = this.definition.gang ? this.tasks : [task]
    for (const each of finished) {
      if (each.state === 'done') continue
      each.state = 'done'
      this.#remainingTasks -= 1
    }
  }

  #countFailure (task: TaskProgress, attempt: number): void {
    if (this.definition.gang) {
      if (attempt <= this.#failedGangAttempt) return
      this.#failedGangAttempt = attempt
      this.#gangFailures += 1
    } else {
      task.failures += 1
    }
    this.#failIfExhausted(task)
  }

  #failIfCulprit ({ name, crashHistory }: TaskProgress): void {
    if (isCulprit(crashHistory)) this.job.fail({ name, crashes: crashHistory })
  }

  /** Fails the job if the task, or its gang, has failed as often as the queue allows. */
  #failIfExhausted ({ name, failures: ofTask, endedAttempts }: TaskProgress): void {
    const { maximumFailures } = this.job.queue
    const failures = this.definition.gang ? this.#gangFailures : ofTask
    if (failures >= maximumFailures) this.job.fail({ name: this.definition.gang ? this.name : name, failures, maximumFailures, endedAttempts })
  }
}
