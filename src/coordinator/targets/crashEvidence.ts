/** Finds out what the crash of a target says about each run that was lost with it. */
import type { CrashEvidence } from '../../jobs/crashHistory.ts'
import type { CrashedRun, CrashRecord } from '../../jobs/jobRecords.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import type { Assignment } from './assignment.ts'

/** A lasting task that has been at work on its target for this long did not crash it. */
export const CLEARING_TIME_MS = 10_000
/** Times of different targets are compared with this tolerance, since their failures are noticed with a delay. */
const OVERLAP_TOLERANCE_MS = 50
/** Crashes of other targets at the same time, anywhere, from which on a common cause is more likely than the runs. */
const COINCIDENT_CRASHES = 2
const HISTORY_MS = 60_000

/** The time during which a target stopped answering. */
export interface Outage {
  readonly target: string
  /** Empty if not known. */
  readonly rack: string
  /** Time of its last answer. */
  readonly afterMs: number
  /** Time at which it was first known not to answer. */
  readonly byMs: number
  /** Whether the target was kept for a suspected job, which explains a crash without a common cause. */
  readonly hasIsolatedRuns: boolean
}

/**
 * Remembers when targets stopped answering, to recognize crashes with a common cause: of a rack, or of many targets.
 *
 * @example
 * outages.record(outage)
 * const coincident = outages.findCoincident(outage, failing)
 */
export class OutageHistory {
  #recent: Outage[] = []

  record (outage: Outage): void {
    this.#recent = [...this.#recent.filter(({ byMs }) => byMs > outage.byMs - HISTORY_MS), outage]
  }

  /**
   * Returns the outages of other targets at the same time that no suspected job explains. `failing` are those of targets
   * that do not answer now and may turn out to have crashed.
   */
  findCoincident (outage: Outage, failing: readonly Outage[]): readonly Outage[] {
    const others = [...this.#recent, ...failing].filter(other => other.target !== outage.target && !other.hasIsolatedRuns && overlaps(other, outage))
    return [...new Map(others.map(other => [other.target, other])).values()]
  }
}

/** Whether the outage has more likely the cause of the others at its time than a task. */
export function hasCommonCause (outage: Outage, others: readonly Outage[]): boolean {
  return others.length >= COINCIDENT_CRASHES || others.some(({ rack }) => rack !== '' && rack === outage.rack)
}

function overlaps (left: Outage, right: Outage): boolean {
  return left.afterMs <= right.byMs + OVERLAP_TOLERANCE_MS && right.afterMs <= left.byMs + OVERLAP_TOLERANCE_MS
}

/** Whether a target with these runs was kept for suspected jobs, of which only lasting tasks share one. */
export function areIsolated (runs: readonly Assignment[]): boolean {
  const suspects = runs.filter(run => !isBystander(run))
  const isSuspected = ({ task }: Assignment): boolean => task.step.isSuspected(task)
  if (new Set(suspects.map(jobOf)).size === 1) return suspects.some(isSuspected)
  return suspects.length > 0 && suspects.every(run => isLasting(run) && isSuspected(run))
}

export interface Crash {
  /** The runs on the target, in the order in which they were placed there. */
  readonly runs: readonly Assignment[]
  /** Time of the target's last answer. */
  readonly lastAnswerMs: number
  /** Whether another cause is likely: other targets crashed at the same time, or the target showed runs that nobody expected. */
  readonly hasOtherCause: boolean
}

/**
 * Returns what the crash says about each run. Runs of one job count as one, since any of them would fail the job.
 *
 * @example
 * classifyCrash({ runs, lastAnswerMs, hasOtherCause: false }).get(assignment) // 'lone'
 */
export function classifyCrash ({ runs, lastAnswerMs, hasOtherCause }: Crash): ReadonlyMap<Assignment, CrashEvidence> {
  const isCleared = (run: Assignment): boolean => isLasting(run) && lastAnswerMs - run.firstReportedAtMs >= CLEARING_TIME_MS
  const candidates = runs.filter(run => !isCleared(run))
  const suspects = candidates.filter(run => !isBystander(run))
  const jobs = new Set((suspects.length > 0 ? suspects : candidates).map(jobOf))
  const latest = findLatestJobs(candidates)
  return new Map(runs.map(run => {
    if (isCleared(run)) return [run, 'cleared']
    if (hasOtherCause || !(jobs.has(jobOf(run)) || latest.has(jobOf(run)))) return [run, 'shared']
    if (jobs.size === 1 && jobs.has(jobOf(run))) return [run, 'lone']
    return [run, latest.has(jobOf(run)) ? 'suspected' : 'shared']
  }))
}

/** Jobs whose runs the target has never shown; of runs that an earlier coordinator placed, those of the last one. */
function findLatestJobs (runs: readonly Assignment[]): ReadonlySet<unknown> {
  const unreported = runs.filter(run => !run.reported && run.state !== 'recovering')
  return new Set((unreported.length > 0 ? unreported : runs.slice(-1)).map(jobOf))
}

/** A lasting task that worked on the target before the others came; it may stay where a suspected task is isolated. */
function isBystander (run: Assignment): boolean {
  return isLasting(run) && run.reported && !run.task.step.isSuspected(run.task)
}

function isLasting ({ task }: Assignment): boolean {
  return task.step.definition.longRunning
}

function jobOf ({ task }: Assignment): unknown {
  return task.step.job
}

/** Returns one record for each step with runs in the crash of the target. */
export function createCrashRecords (target: string, evidence: readonly (readonly [Assignment, CrashEvidence])[]): readonly CrashRecord[] {
  const records = new Map<StepProgress, CrashedRun[]>()
  for (const [{ task, attempt }, each] of evidence) records.set(task.step, [...records.get(task.step) ?? [], [task.index, attempt, each]])
  return [...records].map(([step, runs]) => ({ type: 'crashed', job: step.job.id, occurrence: step.occurrence, step: step.number, target, runs }))
}
