/** Holds the tasks assigned to one target incarnation, and compares them with the runs that its reports show. */
import type { RunningTask, TargetReport } from '../../ports/jobTarget.ts'
import type { ComputeResources } from '../placement/placeStep.ts'
import { runKey } from './assignment.ts'
import type { Assignment, RunEvidence } from './assignment.ts'
import type { StartsInTransit } from './startsInTransit.ts'
import type { TargetCapacity } from './targetCapacity.ts'

export interface AssignedRunsListener {
  /** The incarnation is now known to have begun a run. */
  runBegun (assignment: Assignment): void
  /** A report showed a run whose start was not confirmed before. */
  startConfirmed (assignment: Assignment): void
  /** A run that is assigned to the target is missing from a complete report, and no incarnation will begin it. */
  runMissing (assignment: Assignment): void
  /** A run is missing from a complete report, but a later incarnation may begin it. */
  runHeld (assignment: Assignment): void
  /** A report showed a run that is not assigned to the target; returns its resources if they are known. */
  unexpectedRun (run: RunningTask): ComputeResources | undefined
}

/**
 * An assignment occupies its capacity until it is held or removed.
 *
 * @example
 * const runs = new AssignedRuns(capacity, starts, listener)
 * runs.add(assignment)
 * runs.compareRunning(report.running, clock.monotonicMs())
 * runs.recordReportRequestedAt(sentMs)
 * runs.detectMissing(report, sentMs)
 */
export class AssignedRuns {
  readonly #assignments = new Map<string, Assignment>()
  readonly #held = new Set<Assignment>()
  readonly #capacity: TargetCapacity
  readonly #starts: StartsInTransit
  readonly #listener: AssignedRunsListener

  constructor (capacity: TargetCapacity, starts: StartsInTransit, listener: AssignedRunsListener) {
    this.#capacity = capacity
    this.#starts = starts
    this.#listener = listener
  }

  get byKey (): ReadonlyMap<string, Assignment> {
    return this.#assignments
  }

  /** Assignments without capacity, whose starts a later incarnation may execute. */
  get held (): ReadonlySet<Assignment> {
    return this.#held
  }

  has ({ key }: Assignment): boolean {
    return this.#assignments.has(key)
  }

  add (assignment: Assignment): void {
    this.#assignments.set(assignment.key, assignment)
    this.#capacity.reserve(assignment.size)
  }

  /** Removes an assignment whose run has ended or will not begin on any incarnation. */
  remove (assignment: Assignment): void {
    if (this.#assignments.delete(assignment.key)) this.#capacity.release(assignment.size)
    else this.#held.delete(assignment)
    this.#starts.recordSettled(assignment)
  }

  /** Releases the capacity of an assignment whose start the incarnation that is up will not execute. */
  hold (assignment: Assignment): void {
    if (!this.#assignments.delete(assignment.key)) return
    this.#capacity.release(assignment.size)
    this.#held.add(assignment)
    assignment.state = 'held'
    this.#listener.runHeld(assignment)
  }

  /** Finds the assignment of a run, also one without capacity. */
  find (key: string): Assignment | undefined {
    return this.#assignments.get(key) ?? [...this.#held].find(held => held.key === key)
  }

  /** Applies the running tasks of a report that arrived at the given time. */
  compareRunning (running: readonly RunningTask[], nowMs: number): void {
    const unexpected = new Map<string, ComputeResources | undefined>()
    for (const run of running) {
      const key = runKey(run.task, run.attempt)
      const assignment = this.#assignments.get(key)
      if (assignment !== undefined) this.#handleExpectedRun(assignment, run, nowMs)
      else unexpected.set(key, this.#listener.unexpectedRun(run))
    }
    this.#capacity.setUnexpectedRuns(unexpected)
  }

  #handleExpectedRun (assignment: Assignment, running: RunningTask, nowMs: number): void {
    if (!assignment.reported) assignment.firstReportedAtMs = nowMs
    assignment.reported = true
    if (!assignment.isRunHere) {
      this.#recordBegun(assignment, 'shown')
    }
    if (assignment.state !== 'recovering') assignment.startedAtMs ??= assignment.firstReportedAtMs
    if (assignment.state === 'unconfirmed' || assignment.state === 'recovering') {
      assignment.state = 'running'
      assignment.confirmedAtMs = nowMs
      this.#listener.startConfirmed(assignment)
    }
    assignment.task.step.saveCheckpoint(assignment.task, running.checkpoint)
  }

  /**
   * Applies that a report of this incarnation was requested at the given time. An answer to a start does not say which incarnation
   * gave it, and the clocks of two may agree. But one that was up before a start was sent and after it was answered has executed it.
   */
  recordReportRequestedAt (requestedMs: number): void {
    for (const assignment of this.#assignments.values()) {
      const { isExecutorUnknown, answeredAtMs = Infinity } = assignment
      if (isExecutorUnknown && answeredAtMs < requestedMs) this.#recordBegun(assignment, 'answered')
    }
  }

  /** Whether a run was answered as started, at the given time or later, and it is not known by which incarnation. */
  hasUnknownExecutorSince (timeMs = -Infinity): boolean {
    return [...this.#assignments.values()].some(({ isExecutorUnknown, answeredAtMs = -Infinity }) => isExecutorUnknown && answeredAtMs >= timeMs)
  }

  #recordBegun (assignment: Assignment, evidence: RunEvidence): void {
    assignment.evidence = evidence
    this.#starts.recordSettled(assignment)
    this.#listener.runBegun(assignment)
  }

  /**
   * Removes confirmed runs that are missing from a complete report requested after their confirmation; holds those whose
   * starts a later incarnation may still execute.
   */
  detectMissing (report: TargetReport, requestedMs: number): void {
    if (report.mayOmitFinished) return
    const running = new Set(report.running.map(({ task, attempt }) => runKey(task, attempt)))
    for (const assignment of [...this.#assignments.values(), ...this.#held]) {
      const { state, confirmedAtMs, key } = assignment
      const expectedInReport = state === 'running' || state === 'stopping' || state === 'recovering' || state === 'held'
      if (!expectedInReport || confirmedAtMs >= requestedMs || running.has(key)) continue
      if (this.#starts.latestExecutionMs(assignment) < requestedMs) {
        this.remove(assignment)
        this.#listener.runMissing(assignment)
      } else if (state !== 'held') {
        this.hold(assignment)
      }
    }
  }
}
