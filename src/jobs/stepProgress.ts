/** How far the tasks of one step are, in one occurrence of its job. */
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
  /** Highest attempt known to have been used. */
  attempt = 0
  /** Attempts whose ends are known. */
  endedAttempts: readonly number[] = []
  failures = 0
  checkpoint = ''
  /** Life of the target on which the highest attempt runs or may run; empty for none. */
  placedOn = ''

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
  /** Tasks that are not done. */
  #remainingTasks: number
  /** Attempts of the gang that failed, by their highest number. */
  #failedGangAttempt = 0
  #gangFailures = 0
  #gangCheckpoint = ''

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

  /** Tasks that may be placed now: for a gang all of them or none. */
  get waiting (): readonly TaskProgress[] {
    const waiting = this.tasks.filter(task => task.state === 'waiting')
    return this.definition.gang && waiting.length < this.tasks.length ? [] : waiting
  }

  /** Number for the next start of a task; the members of a gang share it. */
  nextAttempt (task: TaskProgress): number {
    const latestAttempt = this.definition.gang ? Math.max(...this.tasks.map(member => member.attempt)) : task.attempt
    return latestAttempt + 1
  }

  /** State from which the next start resumes; any member's state serves the whole gang. */
  checkpointOf (task: TaskProgress): string {
    return this.definition.gang ? this.#gangCheckpoint : task.checkpoint
  }

  saveCheckpoint (task: TaskProgress, checkpoint: string): void {
    if (checkpoint === '') return
    task.checkpoint = checkpoint
    this.#gangCheckpoint = checkpoint
  }

  /** Applies the end of a run; false if it was known before. */
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

  /** A run has certainly stopped without an end that is known. */
  releaseLostRun (task: TaskProgress, attempt: number): void {
    if (task.state === 'assigned' && task.attempt === attempt) this.#release(task)
  }

  /** Notes where an attempt is about to be started; false if a later one is known. */
  recordPlacement (index: number, attempt: number, targetKey: string): boolean {
    const task = this.tasks[index]
    if (task === undefined || task.state === 'done' || attempt <= task.attempt) return false
    task.attempt = attempt
    task.state = 'assigned'
    task.placedOn = targetKey
    return true
  }

  #release (task: TaskProgress): void {
    task.state = 'waiting'
    task.placedOn = ''
  }

  toSnapshot (): StepSnapshot {
    return {
      tasks: this.tasks.map(({ state, attempt, endedAttempts, failures, checkpoint, placedOn }) =>
        ({ done: state === 'done', attempt, endedAttempts, failures, checkpoint, placedOn })),
      gangFailures: this.#gangFailures,
      failedGangAttempt: this.#failedGangAttempt,
      gangCheckpoint: this.#gangCheckpoint
    }
  }

  restore ({ tasks, gangFailures, failedGangAttempt, gangCheckpoint }: StepSnapshot): void {
    this.#gangFailures = gangFailures
    this.#failedGangAttempt = failedGangAttempt
    this.#gangCheckpoint = gangCheckpoint
    for (const [index, { done, ...fields }] of tasks.entries()) {
      const task = this.tasks[index]
      if (task === undefined) continue
      Object.assign(task, fields)
      if (done && task.state !== 'done') {
        task.state = 'done'
        this.#remainingTasks -= 1
      } else if (fields.placedOn !== '') {
        task.state = 'assigned'
      }
    }
    const { maximumFailures } = this.job.queue
    if (gangFailures >= maximumFailures || tasks.some(({ failures }) => failures >= maximumFailures)) this.job.fail()
  }

  /** One done member stands for its gang. */
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
      if (this.#gangFailures >= this.job.queue.maximumFailures) this.job.fail()
      return
    }
    task.failures += 1
    if (task.failures >= this.job.queue.maximumFailures) this.job.fail()
  }
}
