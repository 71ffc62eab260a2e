/** Jobs: graphs of steps, each of which consists of identical tasks. */
import type { Resources } from '../model/resources.ts'

export interface StepDefinition {
  readonly count: number
  /** Declared resource usage of one task. */
  readonly size: Resources
  readonly estimateMs: number
  /** Positions of the steps that must be done before this one starts. */
  readonly after: readonly number[]
  /** Whether all tasks run at the same time and end together. */
  readonly gang: boolean
  /** Whether the tasks run slower when spread over more than one rack. */
  readonly sameRack: boolean
  /** Label that targets must have; empty for none. */
  readonly requiredLabel: string
  /** Rack that holds the input data; empty for none. */
  readonly dataRack: string
  /** Maximum number of the step's tasks on one target; 0 for no limit. */
  readonly tasksPerTarget: number
  /** Whether tasks are restarted, however they end, until the job is cancelled. */
  readonly longRunning: boolean
  /** Whether tasks run on processors that others leave idle; these do not count against a target's capacity. */
  readonly fillsSpareProcessors: boolean
  /** Response time objective of a long-running task in milliseconds; 0 for none. */
  readonly responseTargetMs: number
}

/** Longer run times make sums of work infinite, which then stay so. */
const MAX_RUN_TIME_MS = 7 * 24 * 3_600_000

/**
 * Returns the nearest run time from 0 to 7 days; 0 if it is not a number.
 *
 * @example
 * boundRunTimeMs(1e306) // 604800000
 */
export function boundRunTimeMs (runTimeMs: number): number {
  return Number.isNaN(runTimeMs) ? 0 : Math.min(Math.max(runTimeMs, 0), MAX_RUN_TIME_MS)
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

/** The fields of a job that are also kept after it has ended. */
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
 * Formats the name that identifies a task to a target.
 *
 * @example
 * formatTaskName({ job: '5c0e', occurrence: 0, step: 1, index: 17 }) // '5c0e.0.1.17'
 */
export function formatTaskName ({ job, occurrence, step, index }: TaskName): string {
  return `${job}.${occurrence}.${step}.${index}`
}

/** Parses a task name; returns undefined if it is malformed. */
export function parseTaskName (name: string): TaskName | undefined {
  const match = TASK_NAME.exec(name)
  if (match === null) return undefined
  return { job: match[1] as string, occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}
