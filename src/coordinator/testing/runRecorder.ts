/** Records the runs on all targets of a test, and finds those that must not have been started. */
import type { Clock } from '../../ports/clock.ts'
import type { RunEnd } from '../../ports/jobTarget.ts'

export interface RecordedRun {
  readonly task: string
  readonly attempt: number
  /** Target and incarnation. */
  readonly place: string
  /** Position among all starts and ends, since several can happen in one millisecond. */
  readonly startPosition: number
  readonly startedAtMs: number
  endPosition: number
  endedAtMs: number
  end?: RunEnd | 'crashed'
  acknowledgedAtMs?: number
}

/**
 * @example
 * const run = recorder.start('5c0e.0.0.1', 1, 'worker-1')
 * recorder.end(run, 'done')
 * recorder.acknowledge(run)
 */
export class RunRecorder {
  readonly #clock: Clock
  readonly #runs = new Map<string, RecordedRun[]>()
  #position = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  start (task: string, attempt: number, place: string): RecordedRun {
    const run: RecordedRun = { task, attempt, place, startPosition: this.#position++, startedAtMs: this.#clock.monotonicMs(), endPosition: Infinity, endedAtMs: Infinity }
    this.#runs.set(task, [...this.#runs.get(task) ?? [], run])
    return run
  }

  end (run: RecordedRun, end: RunEnd | 'crashed'): void {
    run.end = end
    run.endPosition = this.#position++
    run.endedAtMs = this.#clock.monotonicMs()
  }

  /** Makes the end of a run final; not called if the lease of its target has lapsed since. */
  acknowledge (run: RecordedRun): void {
    run.acknowledgedAtMs = this.#clock.monotonicMs()
  }

  /** Runs that were started while another run of the task was in progress, or after one whose end as `done` is final. */
  findRepeatedRuns (): readonly string[] {
    return [...this.#runs.values()].flatMap(runs => runs.flatMap((run, index) => runs.slice(0, index).flatMap(earlier => {
      if (earlier.endPosition > run.startPosition) return [`${run.task} was started while it ran: ${describe(earlier)}; ${describe(run)}`]
      return earlier.end === 'done' && earlier.acknowledgedAtMs !== undefined ? [`${run.task} was started after it was done: ${describe(earlier)}; ${describe(run)}`] : []
    })))
  }
}

function describe ({ attempt, place, startedAtMs, endedAtMs, end, acknowledgedAtMs }: RecordedRun): string {
  return `attempt ${attempt} on ${place} from ${startedAtMs} to ${endedAtMs} (${end}, acknowledged at ${acknowledgedAtMs})`
}
