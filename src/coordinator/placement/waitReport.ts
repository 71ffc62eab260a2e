/** Logs why steps have nothing running, for the few that have waited longest. */
import type { StepProgress } from '../../jobs/stepProgress.ts'
import type { Logger } from '../../observability/logger.ts'
import type { Clock } from '../../ports/clock.ts'
import type { Assignment } from '../targets/assignment.ts'
import type { TargetSession } from '../targets/targetSession.ts'

/** Placement, advice and a start take less; a longer wait has a reason that is worth a line. */
const MIN_WAIT_MS = 3_000
const REPORT_INTERVAL_MS = 5_000
const MAX_STEPS_PER_REPORT = 3
const MAX_RUNS_PER_STEP = 3

export type WaitReason = 'assigned' | 'isolation' | 'cap' | 'capacity' | 'advice-awaited' | 'advice' | 'locality' | 'reservation' | 'next-pass'

export interface WaitExplanation {
  readonly reason: WaitReason
  /** Figures that the reason depends on. */
  readonly details?: Readonly<Record<string, unknown>>
}

export interface PlacedAssignment {
  readonly session: TargetSession
  readonly assignment: Assignment
}

export interface WaitReportOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly explain: (step: StepProgress) => WaitExplanation
}

/**
 * Tracks since when steps have had nothing running. At most `MAX_STEPS_PER_REPORT` lines are logged per
 * `REPORT_INTERVAL_MS`, however many steps wait.
 *
 * @example
 * report.update(placer.queuedSteps, fleet.placed)
 */
export class WaitReport {
  readonly #options: WaitReportOptions
  #idleSinceMs: ReadonlyMap<StepProgress, number> = new Map()
  /** Numbers of lines about each step; those with the fewest come first, so that other reasons are seen too. */
  readonly #reports = new WeakMap<StepProgress, number>()
  #nextReportMs = -Infinity

  constructor (options: WaitReportOptions) {
    this.#options = options
  }

  /** Called regularly with the steps whose dependencies are done, and with all assignments. */
  update (steps: Iterable<StepProgress>, placed: readonly PlacedAssignment[]): void {
    const { clock } = this.#options
    const nowMs = clock.monotonicMs()
    const running = new Map<StepProgress, number>()
    for (const { assignment: { state, task } } of placed) if (state === 'running') running.set(task.step, (running.get(task.step) ?? 0) + 1)
    const idle = [...steps].filter(step => isIdle(step, running.get(step) ?? 0))
    this.#idleSinceMs = new Map(idle.map(step => [step, this.#idleSinceMs.get(step) ?? nowMs]))
    if (nowMs < this.#nextReportMs) return
    const reports = (step: StepProgress): number => this.#reports.get(step) ?? 0
    const overdue = [...this.#idleSinceMs].filter(([, sinceMs]) => nowMs - sinceMs >= MIN_WAIT_MS)
      .sort(([left, leftMs], [right, rightMs]) => reports(left) - reports(right) || leftMs - rightMs)
    if (overdue.length === 0) return
    this.#nextReportMs = nowMs + REPORT_INTERVAL_MS
    for (const [step, sinceMs] of overdue.slice(0, MAX_STEPS_PER_REPORT)) this.#log(step, nowMs, sinceMs, overdue.length, placed)
  }

  #log (step: StepProgress, nowMs: number, sinceMs: number, overdueSteps: number, placed: readonly PlacedAssignment[]): void {
    const { logger, explain } = this.#options
    this.#reports.set(step, (this.#reports.get(step) ?? 0) + 1)
    const { job, definition: { gang, size, longRunning } } = step
    const assigned = placed.filter(({ assignment: { task } }) => task.step === step).slice(0, MAX_RUNS_PER_STEP)
      .map(({ session, assignment: { task, attempt, state, reservedAtMs } }) => [task.index, attempt, session.id, state, Math.round(nowMs - reservedAtMs)])
    logger.info({
      job: job.id, step: step.name, team: job.team, queue: job.queue.name, ...explain(step), waiting: step.waiting.length, tasks: step.tasks.length, assigned, gang, longRunning, size, idleMs: Math.round(nowMs - sinceMs), overdueSteps
    }, 'a step has nothing running')
  }
}

/** Each lasting task should run; of other steps, any task. */
function isIdle ({ definition, tasks, done, job }: StepProgress, running: number): boolean {
  if (done || job.outcome !== undefined) return false
  return definition.longRunning ? running < tasks.length : running === 0
}
