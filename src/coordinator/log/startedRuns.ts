/** Collects the runs that their targets have begun, to be recorded with the next records of the log. */
import type { LogRecord, StartedRecord, StartedRun } from '../../jobs/jobRecords.ts'
import type { StepProgress, TaskProgress } from '../../jobs/stepProgress.ts'
import type { Clock } from '../../ports/clock.ts'

/** Runs that end sooner need no record; the starts of the others count as in transit for a successor until then. */
const RECORD_INTERVAL_MS = 500

/**
 * @example
 * const startedRuns = new StartedRuns(clock)
 * startedRuns.add(task, 1)
 * await log.append([...records, ...startedRuns.takeDue()])
 */
export class StartedRuns {
  readonly #clock: Clock
  readonly #attempts = new Map<TaskProgress, number>()
  #takenAtMs = -Infinity

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Adds a run that the target incarnation on which its task is placed has certainly begun. */
  add (task: TaskProgress, attempt: number): void {
    if (!task.isStarted && task.step.recordStart(task.index, attempt)) this.#attempts.set(task, attempt)
  }

  /** Returns the records of the runs that were added and go on; none within half a second of earlier ones. */
  takeDue (): readonly LogRecord[] {
    const nowMs = this.#clock.monotonicMs()
    if (this.#attempts.size === 0 || nowMs - this.#takenAtMs < RECORD_INTERVAL_MS) return []
    this.#takenAtMs = nowMs
    const runsByStep = new Map<StepProgress, StartedRun[]>()
    for (const [task, attempt] of this.#attempts) {
      if (task.state !== 'assigned' || !task.isStarted || task.attempt !== attempt || task.step.job.outcome !== undefined) continue
      runsByStep.set(task.step, [...runsByStep.get(task.step) ?? [], [task.index, attempt]])
    }
    this.#attempts.clear()
    return [...runsByStep].map(([step, runs]): StartedRecord => ({ type: 'started', job: step.job.id, occurrence: step.occurrence, step: step.number, runs }))
  }
}
