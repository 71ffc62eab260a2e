/** Checks the ten promises of docs/design.md section 2 against the observations of targets, callers and operators. */
import type { TaskHistory } from '../../src/adapters/target/standInTask.ts'
import { DIMENSIONS } from '../../src/model/resources.ts'
import { LONG_RUN_MS } from './layout.ts'
import type { CallerRecord, Observations } from './observations.ts'

/** Section 4.3: the default `keyGrace` plus "a few seconds". */
const KEY_WITHDRAWAL_BOUND_MS = 5_000 + 3_000
/** Section 2, promise 8: "after a few seconds" from the listing or acceptance; the list is read every 5 s. */
const LEAVING_BOUND_MS = 5_000 + 3_000
/** Section 2, promise 10: "within seconds"; an exchange takes 1 s in the data centre and rotates between remote instances. */
const CONFIGURATION_BOUND_MS = 8_000
/** A lowered limit is enforceable once work started before it has ended. */
const LOWERED_LIMIT_BOUND_MS = LONG_RUN_MS + 3_000

interface Run extends TaskHistory {
  readonly targetId: string
}

/** Returns one line per violation, prefixed with the number of the promise, or 0 for recovery. */
export function findViolations (observations: Observations): readonly string[] {
  const runs = observations.targets.flatMap(target => target.history.map((entry): Run => ({ ...entry, targetId: target.info.id })))
  const runsOf = groupBy(runs, ({ team, requestId }) => `${team}/${requestId}`)
  const recordsOf = groupBy(observations.callers, ({ team, requestId }) => `${team}/${requestId}`)
  return [
    ...checkCapacity(observations),
    ...[...runsOf].flatMap(([request, ofRequest]) => checkRuns(request, ofRequest, recordsOf.get(request) ?? [])),
    ...checkKeys(observations, runsOf),
    ...checkLimits(observations, runs),
    ...observations.callers.flatMap(checkAnswer),
    ...checkLeaving(observations, runs),
    ...checkPlannedStops(observations, runsOf),
    ...checkConfiguration(observations),
    ...observations.notRecovered.map(what => `0 not recovered: ${what}`)
  ]
}

/** A stand-in refuses tasks that exceed its capacity, so a `no-capacity` refusal shows that it was sent too much. */
function checkCapacity ({ targets }: Observations): readonly string[] {
  return targets.flatMap(({ info, highestReserved, refusals, highestConnections }) => [
    ...DIMENSIONS.filter(dimension => highestReserved[dimension] > info.capacity[dimension])
      .map(dimension => `1 ${info.id} ran ${highestReserved[dimension]} ${dimension} of ${info.capacity[dimension]}`),
    ...refusals['no-capacity'] > 0 ? [`1 ${info.id} was sent more than its capacity ${refusals['no-capacity']} times`] : [],
    ...highestConnections > info.connections ? [`1 ${info.id} had ${highestConnections} connections`] : []
  ])
}

function checkRuns (request: string, runs: readonly Run[], records: readonly CallerRecord[]): readonly string[] {
  const problems: string[] = []
  const [first] = records
  if (first === undefined) return [`5 ${request} ran but was never submitted`]
  for (const [index, run] of runs.entries()) {
    const other = runs.slice(0, index).find(earlier => overlap(earlier, run) && !areTasksOfSameAttempt(first, earlier, run))
    if (other !== undefined) problems.push(`2 ${request} ran on ${other.targetId} (${other.taskId}) and ${run.targetId} (${run.taskId}) concurrently`)
  }
  if (!first.repeatable && (runs.length > first.tasks || new Set(runs.map(run => run.taskId)).size < runs.length)) {
    problems.push(`7 ${request} is not repeatable and started ${runs.length} times: ${runs.map(run => `${run.targetId} ${run.taskId}`).join(', ')}`)
  }
  if (records.every(({ outcome }) => outcome.type === 'refused' && outcome.verdict === 'not-run')) {
    problems.push(`6 ${request} was refused as not-run (${records.map(({ outcome }) => 'code' in outcome ? outcome.code : '').join()}) and ran on ${runs[0]?.targetId}`)
  }
  return problems
}

function groupBy<Item> (items: readonly Item[], keyOf: (item: Item) => string): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const group = groups.get(keyOf(item))
    if (group === undefined) groups.set(keyOf(item), [item])
    else group.push(item)
  }
  return groups
}

function overlap (left: Run, right: Run): boolean {
  return left.startedAtWallMs < (right.endedAtWallMs ?? Infinity) && right.startedAtWallMs < (left.endedAtWallMs ?? Infinity)
}

/** Whether two runs are tasks of the same gang attempt, which run concurrently by design. */
function areTasksOfSameAttempt (record: CallerRecord, left: Run, right: Run): boolean {
  if (record.kind !== 'gang' || left.taskId === right.taskId) return false
  const attemptOf = ({ taskId }: Run): string => taskId.slice(0, taskId.lastIndexOf('-'))
  return attemptOf(left) === attemptOf(right)
}

function checkKeys ({ callers, withdrawnKeys }: Observations, runsOf: ReadonlyMap<string, readonly Run[]>): readonly string[] {
  return callers.flatMap(({ requestId, team, key, submittedAt, outcome, instance }) => {
    const withdrawnAt = key === undefined ? undefined : withdrawnKeys.get(key)
    if (withdrawnAt === undefined || submittedAt <= withdrawnAt + KEY_WITHDRAWAL_BOUND_MS) return []
    if (!runsOf.has(`${team}/${requestId}`) && outcome.type !== 'answered') return []
    return [`3 ${requestId} was accepted by ${instance} ${submittedAt - withdrawnAt} ms after its key had been withdrawn`]
  })
}

function checkLimits ({ limits }: Observations, runs: readonly Run[]): readonly string[] {
  return [...new Set(limits.map(({ team }) => team))].flatMap(team => {
    const ofTeam = runs.filter(run => run.team === team)
    return ofTeam.flatMap(({ startedAtWallMs: at, taskId }) => {
      const running = ofTeam.filter(run => run.startedAtWallMs <= at && (run.endedAtWallMs ?? Infinity) > at)
        .reduce((sum, run) => sum + run.size.slots, 0)
      const allowed = highestLimit(limits.filter(limit => limit.team === team), at)
      return running > allowed ? [`4 ${team} ran ${running} slots with a limit of ${allowed} when ${taskId} started`] : []
    })
  })
}

/** Returns the highest limit that an instance may still, or already, apply. */
function highestLimit (limits: Observations['limits'], at: number): number {
  const known = limits.filter(({ since }) => since <= at)
  return Math.max(...known.filter((_limit, index) => {
    const replacedAt = known.slice(index + 1).find(later => later.acceptedAt !== undefined)?.acceptedAt ?? Infinity
    return at < replacedAt + LOWERED_LIMIT_BOUND_MS
  }).map(({ slots }) => slots))
}

function checkAnswer ({ requestId, kind, tasks, outcome }: CallerRecord): readonly string[] {
  if (outcome.type !== 'answered') return []
  const { body, announcedBytes } = outcome
  const problem = `5 ${requestId} was answered with ${body.slice(0, 200)}`
  if (Buffer.byteLength(body) !== announcedBytes) return [`${problem}, ${Buffer.byteLength(body)} of ${announcedBytes} bytes`]
  try {
    const answer = JSON.parse(body) as { id?: string, for?: string, tasks?: readonly unknown[] }
    const complete = kind === 'urgent' || kind === 'batch' ? answer.for === requestId : answer.id === requestId && answer.tasks?.length === tasks
    return complete ? [] : [problem]
  } catch {
    return [`${problem}, which is truncated or not JSON`]
  }
}

function checkLeaving ({ leavingTargets }: Observations, runs: readonly Run[]): readonly string[] {
  return runs.flatMap(({ targetId, taskId, startedAtWallMs }) => {
    const since = leavingTargets.get(targetId)
    return since === undefined || startedAtWallMs <= since + LEAVING_BOUND_MS
      ? []
      : [`8 ${targetId} got ${taskId} ${startedAtWallMs - since} ms after it was listed as leaving`]
  })
}

/** Refusals that callers cause themselves. */
const CALLER_CAUSED_CODES: ReadonlySet<string> = new Set(['deadline', 'duplicate'])

/** Excludes refusals of checkpointed requests, which were preempted by other work and not cut off by a stop. */
function checkPlannedStops ({ callers, faultsPreserveOpenRequests }: Observations, runsOf: ReadonlyMap<string, readonly Run[]>): readonly string[] {
  if (!faultsPreserveOpenRequests) return []
  return callers.flatMap(({ requestId, team, instance, outcome }) => {
    const runs = runsOf.get(`${team}/${requestId}`) ?? []
    if (outcome.type === 'refused' && runs.some(({ ending }) => ending === 'checkpointed')) return []
    const cutOff = outcome.type === 'reset' || (outcome.type === 'refused' && outcome.verdict !== 'not-run' && !CALLER_CAUSED_CODES.has(outcome.code))
    return cutOff ? [`9 ${requestId} was cut off at ${instance} although no fault required it: ${JSON.stringify(outcome)}`] : []
  })
}

function checkConfiguration ({ changes, versions, finalChangeIds }: Observations): readonly string[] {
  const problems: string[] = []
  const accepted = changes.flatMap(({ answer, answeredAt, submission }) =>
    answer?.outcome === 'accepted' ? [{ version: answer.version, at: answeredAt!, id: submission.id }] : [])
  const ids = new Set(finalChangeIds)
  for (const { id, version } of accepted) {
    if (!ids.has(id)) problems.push(`10 the accepted change ${id} is not in force at the end`)
    if (accepted.some(other => other.version === version && other.id !== id)) problems.push(`10 two changes were accepted as version ${version}`)
  }
  for (const { answer, submission } of changes) {
    if (accepted.some(({ id }) => id === submission.id)) continue
    const reportedNotAccepted = answer?.outcome === 'conflict' || answer?.outcome === 'invalid' || (answer?.outcome === 'unavailable' && !answer.mayHaveBeenAccepted)
    if (reportedNotAccepted && ids.has(submission.id)) problems.push(`10 the change ${submission.id} is in force, but its operator was answered ${answer.outcome}`)
  }
  const highest = new Map<string, number>()
  for (const { process, version, at, reachable } of versions) {
    if (version < (highest.get(process) ?? 0)) problems.push(`10 ${process} regressed to version ${version}`)
    highest.set(process, version)
    const missing = reachable ? accepted.find(change => change.version > version && change.at + CONFIGURATION_BOUND_MS < at) : undefined
    if (missing !== undefined) problems.push(`10 ${process} still had version ${version} ${at - missing.at} ms after ${missing.version} was accepted`)
  }
  return problems
}
