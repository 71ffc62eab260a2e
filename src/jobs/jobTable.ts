/** All known jobs by identity, built from the records of the log. */
import type { QueueSettings } from './desiredState.ts'
import type { JobState } from './job.ts'
import { JobProgress } from './jobProgress.ts'
import { EarlyCancellations } from './earlyCancellations.ts'
import { RunTimeModels } from './runTimeModels.ts'
import type { JobRecord, LogRecord, RunTimeModelSummary, TargetDescription } from './jobRecords.ts'

/** The outcome of an ended job, without the data that is needed only to run it. */
export interface FinishedJob {
  readonly id: string
  readonly queue: string
  readonly team: string
  readonly state: JobState
  readonly wallMs: number
}

/**
 * Applies records in the order of the log.
 *
 * @example
 * const table = new JobTable(() => clock.monotonicMs())
 * for (const record of records) table.apply(record)
 */
export class JobTable {
  readonly #jobs = new Map<string, JobProgress>()
  readonly #finished = new Map<string, FinishedJob>()
  readonly #queues = new Map<string, QueueSettings>()
  readonly #targets = new Map<string, TargetDescription>()
  readonly #runTimeModels = new RunTimeModels()
  readonly earlyCancellations = new EarlyCancellations()
  readonly #acceptedAtMs: (record: JobRecord) => number

  /** `acceptedAtMs` returns the time of acceptance on this process's clock. */
  constructor (acceptedAtMs: (record: JobRecord) => number) {
    this.#acceptedAtMs = acceptedAtMs
  }

  get jobs (): ReadonlyMap<string, JobProgress> {
    return this.#jobs
  }

  get finished (): ReadonlyMap<string, FinishedJob> {
    return this.#finished
  }

  /** Incarnations of targets on which tasks may run. */
  get targets (): ReadonlyMap<string, TargetDescription> {
    return this.#targets
  }

  /** Learned run times. */
  get runTimeModels (): Iterable<RunTimeModelSummary> {
    return this.#runTimeModels.all
  }

  queue (name: string): QueueSettings | undefined {
    return this.#queues.get(name)
  }

  apply (record: LogRecord): void {
    switch (record.type) {
      case 'queue':
        this.#queues.set(record.queue.name, record.queue)
        break
      case 'job':
        this.#addJob(record)
        break
      case 'placed':
        this.#jobs.get(record.job)?.applyPlacement(record)
        break
      case 'started':
        this.#jobs.get(record.job)?.applyStart(record)
        break
      case 'start-expiry':
        this.#jobs.get(record.job)?.applyStartExpiry(record)
        break
      case 'run-end':
        this.#jobs.get(record.job)?.applyRunEnd(record)
        break
      case 'crashed':
        this.#jobs.get(record.job)?.applyCrash(record)
        break
      case 'step':
        this.#jobs.get(record.job)?.restore(record)
        break
      case 'run-times':
        this.#runTimeModels.apply(record)
        break
      case 'cancelled':
        this.#jobs.get(record.job)?.cancel()
        break
      case 'cancelled-early':
        this.earlyCancellations.add(record)
        break
      case 'finished-job':
        this.finish(record.id, record)
        break
      case 'target':
        this.#targets.set(targetKey(record.target), record.target)
        break
      case 'target-gone':
        this.#targets.delete(targetKey(record))
        this.#releaseTasksOf(targetKey(record))
        break
    }
  }

  /** Replaces a job by its outcome. */
  finish (id: string, { queue, team, state, wallMs }: Omit<FinishedJob, 'id'>): void {
    this.#jobs.delete(id)
    this.#finished.set(id, { id, queue, team, state, wallMs })
  }

  /** Replaces an ended job by its outcome. */
  finishJob (job: JobProgress, wallMs: number): void {
    const { id, queue, team } = job.record
    this.finish(id, { queue, team, state: job.state, wallMs })
  }

  /** Removes a job that was never stored. */
  discard (id: string): void {
    this.#jobs.delete(id)
  }

  /** Removes finished jobs that ended before the given wall-clock time. */
  evictFinished (beforeWallMs: number): void {
    for (const [id, job] of this.#finished) {
      if (job.wallMs < beforeWallMs) this.#finished.delete(id)
    }
  }

  /** Returns records from which an equal table can be built. */
  toRecords (): readonly LogRecord[] {
    const records: LogRecord[] = []
    for (const target of this.#targets.values()) records.push({ type: 'target', target })
    const models = [...this.#runTimeModels.all]
    if (models.length > 0) records.push({ type: 'run-times', models })
    for (const job of this.#finished.values()) records.push({ type: 'finished-job', ...job })
    for (const cancellation of this.earlyCancellations.all) records.push({ type: 'cancelled-early', ...cancellation })
    // Jobs keep the settings that their queue had when they were accepted, such as the number of failures allowed.
    const written = new Map<string, QueueSettings>()
    const writeQueue = (queue: QueueSettings): void => {
      if (written.get(queue.name) === queue) return
      written.set(queue.name, queue)
      records.push({ type: 'queue', queue })
    }
    for (const job of this.#jobs.values()) {
      writeQueue(job.queue)
      records.push(...toJobRecords(job))
    }
    for (const queue of this.#queues.values()) writeQueue(queue)
    return records
  }

  /** Releases the tasks of a target incarnation that has ended, since nothing runs there any more. */
  #releaseTasksOf (target: string): void {
    for (const job of this.#jobs.values()) {
      for (const step of job.steps) {
        for (const task of step.tasks) {
          if (task.placedOn === target) step.releaseLostRun(task, task.attempt)
        }
      }
    }
  }

  #addJob (record: JobRecord): void {
    if (this.#jobs.has(record.id) || this.#finished.has(record.id)) return
    const queue = this.#queues.get(record.queue)
    if (queue === undefined) return
    this.#jobs.set(record.id, new JobProgress(record, queue, this.#acceptedAtMs(record)))
  }
}

/** Returns the key of one incarnation of a target. */
export function targetKey ({ id, bornMs }: { readonly id: string, readonly bornMs: number }): string {
  return `${id}@${bornMs}`
}

function toJobRecords (job: JobProgress): LogRecord[] {
  const records: LogRecord[] = [job.record]
  // First, since the steps of a cancelled job may all be done or have failed afterwards.
  if (job.outcome === 'cancelled') records.push({ type: 'cancelled', job: job.id, wallMs: 0 })
  if (job.hasStarted) records.push({ type: 'started', job: job.id, occurrence: 0, step: 0, runs: [] })
  for (const step of job.steps) records.push({ type: 'step', job: job.id, occurrence: step.occurrence, step: step.number, ...step.toSnapshot() })
  return records
}
