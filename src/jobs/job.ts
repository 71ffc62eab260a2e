/** Jobs: steps of equal tasks that depend on each other. */
import type { Resources } from '../model/resources.ts'

export interface StepDefinition {
  readonly count: number
  /** Declared use of one task. */
  readonly size: Resources
  readonly estimateMs: number
  /** Steps whose tasks must all be done before. */
  readonly after: readonly number[]
  /** All tasks work at the same time and end together. */
  readonly gang: boolean
  /** The tasks are slower on more than one rack. */
  readonly sameRack: boolean
  /** Label that a target must have; empty for none. */
  readonly requiredLabel: string
  /** Rack where the data lies; empty for none. */
  readonly dataRack: string
  /** Tasks of the step on one target at most; 0 for no limit. */
  readonly tasksPerTarget: number
  /** Restarted however the tasks end, until the job is cancelled. */
  readonly longRunning: boolean
  /** Uses the processors that others leave; its processors do not count against a target's capacity. */
  readonly fillsSpareProcessors: boolean
  /** Response time that a long-running task must keep, milliseconds; 0 for none. */
  readonly responseTargetMs: number
}

export interface Repetition {
  readonly count: number
  readonly firstWallMs: number
  readonly intervalMs: number
}

export interface JobDefinition {
  readonly spec: string
  readonly steps: readonly StepDefinition[]
  readonly repetition?: Repetition
}

/** What is kept of a job for good. */
export interface JobIdentity {
  readonly id: string
  readonly queue: string
  readonly team: string
}

export const JOB_STATES = ['queued', 'active', 'completed', 'failed', 'cancelled'] as const

export type JobState = typeof JOB_STATES[number]

export interface TaskName {
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

const TASK_NAME = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/

/**
 * Formats the name by which a target knows a task.
 *
 * @example
 * formatTaskName({ job: '5c0e', occurrence: 0, step: 1, index: 17 }) // '5c0e.0.1.17'
 */
export function formatTaskName ({ job, occurrence, step, index }: TaskName): string {
  return `${job}.${occurrence}.${step}.${index}`
}

/** Parses a task's name; undefined if it is not one. */
export function parseTaskName (name: string): TaskName | undefined {
  const match = TASK_NAME.exec(name)
  if (match === null) return undefined
  return { job: match[1] as string, occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}
