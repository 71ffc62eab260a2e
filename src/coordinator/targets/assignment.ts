/** A task assigned to a target. */
import type { TaskProgress } from '../../jobs/stepProgress.ts'
import type { Resources } from '../../model/resources.ts'

/**
 * `reserved`: capacity is reserved, no start was requested. `recovering`: placed by an earlier coordinator, and the
 * target has not reported yet. `unconfirmed`: the start request was not answered, and the target may execute it at any
 * time. `stopping`: the run is being stopped and still holds its capacity. `held`: this incarnation will not execute the
 * start, so that the capacity is free, but a later one may, so that the task is not placed again.
 */
export type AssignmentState = 'reserved' | 'recovering' | 'starting' | 'running' | 'unconfirmed' | 'stopping' | 'held'

/**
 * How it is known that an incarnation has executed a start. `shown`: one of its reports shows the run. `answered`: the start was
 * answered between two of its reports. `recorded`: an earlier coordinator knew it.
 */
export type RunEvidence = 'shown' | 'answered' | 'recorded'

export class Assignment {
  readonly task: TaskProgress
  readonly attempt: number
  /** Resources reserved on the target. */
  readonly size: Resources
  state: AssignmentState
  /** Whether a report of this incarnation showed the run. */
  reported = false
  /** How it is known that this incarnation executed the start; undefined while it is not. */
  evidence: RunEvidence | undefined
  /** When the capacity was reserved by this coordinator. */
  reservedAtMs = 0
  /** When a report first showed the run. */
  firstReportedAtMs = Infinity
  /** When the run was first known to run, by a report or by the answer to its start; long after its start if that was not seen. */
  startedAtMs: number | undefined
  /** False for a run that an earlier coordinator placed; the time since `startedAtMs` is then too short for its run time. */
  isStartSeen = true
  /** Whether the run resumes from a checkpoint. */
  isResumed = false
  /** Whether the run is away from the data of its step, or belongs to a group that is spread over several racks. */
  isRemote = false
  /** False while a start request is on its way, and after one without an answer, which the target may execute later. */
  startAnswered = true
  /** When the answer arrived that the run was started, by this incarnation or by a later one; undefined without one. */
  answeredAtMs: number | undefined
  /** Reports requested before this time are too old to show that the run is missing. */
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

  /** Whether this incarnation certainly executed the start. */
  get isRunHere (): boolean {
    return this.evidence !== undefined
  }

  /** Whether the start was answered, and it is not known by which incarnation. */
  get isExecutorUnknown (): boolean {
    return this.answeredAtMs !== undefined && !this.isRunHere
  }

  get team (): string {
    return this.task.step.job.team
  }
}

/** Identifies one run of a task. */
export function runKey (task: string, attempt: number): string {
  return `${task}#${attempt}`
}
