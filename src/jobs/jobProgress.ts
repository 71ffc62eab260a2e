/** Progress of one job, built from the records of the log. */
import type { CrashHistory } from './crashHistory.ts'
import type { QueueSettings } from './desiredState.ts'
import type { JobDefinition, JobState } from './job.ts'
import type { CrashRecord, JobRecord, PlacedRecord, RunEndRecord, StartedRecord, StartExpiryRecord, StepRecord } from './jobRecords.ts'
import { StepProgress } from './stepProgress.ts'

/** What decided that a job failed, for the log. */
export interface FailureCause {
  /** The task, or the step of a gang. */
  readonly name: string
  /** Attempts that ended as failed, if these decided it, and how many the queue allows. */
  readonly failures?: number
  readonly maximumFailures?: number
  readonly endedAttempts?: readonly number[]
  /** Crashes of targets under the task, if these decided it. */
  readonly crashes?: CrashHistory
}

export class JobProgress {
  readonly record: JobRecord
  readonly queue: QueueSettings
  /** Time on this process's monotonic clock from which the job's waiting time counts. */
  readonly acceptedAtMs: number
  /** Steps of the occurrences that have begun, indexed by occurrence. */
  readonly #occurrences: StepProgress[][] = []
  #finalState: 'completed' | 'failed' | 'cancelled' | undefined
  #failureCause: FailureCause | undefined
  #hasStarted = false
  #startedAtMs: number | undefined

  constructor (record: JobRecord, queue: QueueSettings, acceptedAtMs: number) {
    this.record = record
    this.queue = queue
    this.acceptedAtMs = acceptedAtMs
    if (record.definition.repetition === undefined) this.openOccurrence(0)
  }

  get id (): string {
    return this.record.id
  }

  get team (): string {
    return this.record.team
  }

  get definition (): JobDefinition {
    return this.record.definition
  }

  get outcome (): 'completed' | 'failed' | 'cancelled' | undefined {
    return this.#finalState
  }

  /** Undefined unless the job has failed. */
  get failureCause (): FailureCause | undefined {
    return this.#failureCause
  }

  get state (): JobState {
    return this.#finalState ?? (this.#hasStarted ? 'active' : 'queued')
  }

  get hasStarted (): boolean {
    return this.#hasStarted
  }

  get openOccurrences (): number {
    return this.#occurrences.length
  }

  get steps (): readonly StepProgress[] {
    return this.#occurrences.flat()
  }

  /** Time on this process's clock at which a first task was known to run; undefined if an earlier coordinator saw it. */
  get startedAtMs (): number | undefined {
    return this.#startedAtMs
  }

  markStarted (nowMs: number): void {
    this.#hasStarted = true
    this.#startedAtMs ??= nowMs
  }

  /** Wall-clock time at which the next occurrence is due; undefined if there is none. */
  get nextDueWallMs (): number | undefined {
    const { repetition } = this.definition
    if (repetition === undefined || this.#finalState !== undefined || this.#occurrences.length >= repetition.count) return undefined
    return repetition.firstWallMs + this.#occurrences.length * repetition.intervalMs
  }

  openOccurrence (occurrence: number): readonly StepProgress[] {
    while (this.#occurrences.length <= occurrence) {
      const occurrenceIndex = this.#occurrences.length
      this.#occurrences.push(this.definition.steps.map((step, position) => new StepProgress(this, occurrenceIndex, position, step)))
    }
    return this.#occurrences[occurrence] as StepProgress[]
  }

  findStep (occurrence: number, step: number): StepProgress | undefined {
    if (occurrence >= (this.definition.repetition?.count ?? 1)) return undefined
    return this.openOccurrence(occurrence)[step]
  }

  /** Whether all steps that the step depends on are done. */
  isReady (step: StepProgress): boolean {
    return step.definition.after.every(earlier => this.findStep(step.occurrence, earlier)?.done ?? false)
  }

  /** Applies a record of the targets on which tasks are about to be started. */
  applyPlacement ({ occurrence, step, runs }: PlacedRecord): void {
    const placed = this.findStep(occurrence, step)
    for (const [index, attempt, target] of runs) placed?.recordPlacement(index, attempt, target)
  }

  /** Applies a record of runs that their targets have begun; there may be none that goes on. */
  applyStart ({ occurrence, step, runs }: StartedRecord): void {
    this.#hasStarted = true
    const started = this.findStep(occurrence, step)
    for (const [index, attempt] of runs) started?.recordStart(index, attempt)
  }

  /** Applies a record of starts that may still be executed. */
  applyStartExpiry ({ occurrence, step, runs }: StartExpiryRecord): void {
    const expiring = this.findStep(occurrence, step)
    for (const [index, attempt, remainingMs] of runs) expiring?.recordStartExpiry(index, attempt, remainingMs)
  }

  /** Applies the record of one step in a snapshot. */
  restore (record: StepRecord): void {
    this.findStep(record.occurrence, record.step)?.restore(record)
    if (record.tasks.some(({ started, endedAttempts }) => started === true || endedAttempts.length > 0)) this.#hasStarted = true
    if (this.#finalState === undefined && this.#allDone()) this.#finalState = 'completed'
  }

  /** Applies the end of a run; returns false if nothing changed. */
  applyRunEnd ({ occurrence, step, index, attempt, end, checkpoint }: RunEndRecord): boolean {
    const changed = this.findStep(occurrence, step)?.applyRunEnd(index, attempt, end, checkpoint) ?? false
    if (!changed) return false
    this.#hasStarted = true
    if (this.#finalState === undefined && this.#allDone()) this.#finalState = 'completed'
    return true
  }

  /** Applies the crash of a target under runs of one step; fails the job if they show that it is the cause. */
  applyCrash ({ occurrence, step, target, runs }: CrashRecord): void {
    const crashed = this.findStep(occurrence, step)
    for (const [index, attempt, evidence] of runs) crashed?.recordCrash(index, attempt, evidence, target)
  }

  fail (cause: FailureCause): void {
    if (this.#finalState !== undefined) return
    this.#finalState = 'failed'
    this.#failureCause = cause
  }

  /** Cancels the job; returns false if it had already ended. */
  cancel (): boolean {
    if (this.#finalState !== undefined) return false
    this.#finalState = 'cancelled'
    return true
  }

  #allDone (): boolean {
    const expected = this.definition.repetition?.count ?? 1
    return this.#occurrences.length === expected && this.#occurrences.every(steps => steps.every(step => step.done))
  }
}
