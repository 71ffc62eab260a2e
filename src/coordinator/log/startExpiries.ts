/** Records for how long starts may still be executed, so that a successor does not wait for them from the beginning. */
import type { ExpiringStart, LogRecord, StartExpiryRecord } from '../../jobs/jobRecords.ts'
import type { StepProgress } from '../../jobs/stepProgress.ts'
import type { ExpiringStartRequest } from '../targets/startsInTransit.ts'

/** Smaller changes are not recorded, so that each start takes one record a second. */
const MIN_CHANGE_MS = 500
/** Bounds the size of a record to some 30 kB. A successor waits longer for the others. */
const MAX_STARTS = 1_000

/**
 * Returns records of the starts for which less time remains than the log shows.
 *
 * @example
 * const records = createStartExpiryRecords(fleet.expiringStarts, clock.monotonicMs())
 */
export function createStartExpiryRecords (starts: readonly ExpiringStartRequest[], nowMs: number): readonly LogRecord[] {
  const runsByStep = new Map<StepProgress, ExpiringStart[]>()
  const remaining = starts.map(({ assignment, latestExecutionMs }) => ({ assignment, remainingMs: Math.max(0, Math.ceil(latestExecutionMs - nowMs)) }))
  for (const { assignment: { task, attempt }, remainingMs } of remaining.filter(isChanged).slice(0, MAX_STARTS)) {
    runsByStep.set(task.step, [...runsByStep.get(task.step) ?? [], [task.index, attempt, remainingMs]])
  }
  return [...runsByStep].map(([step, runs]): StartExpiryRecord => ({ type: 'start-expiry', job: step.job.id, occurrence: step.occurrence, step: step.number, runs }))
}

function isChanged ({ assignment: { task, attempt }, remainingMs }: { readonly assignment: ExpiringStartRequest['assignment'], readonly remainingMs: number }): boolean {
  const isPlaced = task.state === 'assigned' && !task.isStarted && task.attempt === attempt && task.step.job.outcome === undefined
  return isPlaced && task.startExpiresInMs - remainingMs >= MIN_CHANGE_MS
}
