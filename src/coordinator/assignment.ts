/** A task that has a place on a target. */
import type { TaskProgress } from '../jobs/stepProgress.ts'
import type { Resources } from '../model/resources.ts'

/**
 * `reserved`: room is kept, no order was sent. `recovering`: an earlier coordinator placed it, and the
 * target has not reported yet. `unconfirmed`: the order has no answer, and the target
 * may carry it out at any time. `stopping`: the run is to end and still counts.
 */
export type AssignmentState = 'reserved' | 'recovering' | 'starting' | 'running' | 'unconfirmed' | 'stopping'

export class Assignment {
  readonly task: TaskProgress
  readonly attempt: number
  /** Room that it takes on the target. */
  readonly size: Resources
  state: AssignmentState
  /** A report of this life of the target showed the run. An answer to the order may come from the next life. */
  reported = false
  /** Reports of requests that were sent before are too old to say that it does not run. */
  confirmedAtMs = 0

  constructor (task: TaskProgress, attempt: number, size: Resources, state: AssignmentState) {
    this.task = task
    this.attempt = attempt
    this.size = size
    this.state = state
  }

  get key (): string {
    return runKey(this.task.name, this.attempt)
  }

  get team (): string {
    return this.task.step.job.team
  }
}

/** Identifies one run of a task. */
export function runKey (task: string, attempt: number): string {
  return `${task}#${attempt}`
}
