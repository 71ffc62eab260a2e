/** Runs one seed at the size of a large deployment: load with disruptions, a loss of all instances, and the checks of accepted work. */
import { writeFile } from 'node:fs/promises'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import murmurhash from 'murmurhash'
import { parseTaskName } from '../../src/jobs/job.ts'
import { DeploymentCallers, JOB_CLASSES } from './deploymentCallers.ts'
import type { DeploymentJob } from './deploymentCallers.ts'
import { findCutCalls, findStuckJobs } from './deploymentChecker.ts'
import { createDeploymentPlan, PROFILES } from './deploymentPlan.ts'
import type { PlannedFault } from './faultPlan.ts'
import { SoakCell } from './soakCell.ts'
import { checkSoak } from './soakChecker.ts'

const WORKER_CPU = 64_000
const TEAMS = 20
/** Caps of every fourth team, in thousandths of a core per target. */
const TEAM_CAP_CPU_PER_WORKER = 3_000
const ADVICE_MS = 15
const STARTUP_MS_PER_INSTANCE = 150
/** More than the processor time that an instance needs until it serves. */
const START_PROCESSOR_MS = 1_000
const WORK_SPREAD = 0.4
const HASH_STEPS = 1_000
/** Times of the users' days: the loss of all instances, traffic after it, and the time to finish. */
const TRAFFIC_AFTER_LOSS_MS = 10_000
const FINISH_MS = 14_000
const SHORTEST_LOSS_MS = 1_000
const LONGEST_LOSS_MS = 3_000
/** Bound of the platform. */
const LONGEST_LATE_WRITE_MS = 6_000

export interface DeploymentOptions {
  readonly seed: number
  readonly durationMs: number
  readonly program: readonly string[]
  readonly instances: number
  readonly workers: number
  readonly perSecond: number
  /** Shares of a processor that the instances have in turn. */
  readonly processorShares?: readonly number[]
  /** File that receives everything that is known about the run if it has violations. */
  readonly logFile: string
}

/**
 * Runs the program under the disruptions of the seed, and returns the violations.
 *
 * @example
 * const violations = await runDeployment({ seed: 7, durationMs: 30_000, program: ['dist/agategauge'], instances: 35, workers: 246, perSecond: 97, logFile: 'seed-7.log' })
 */
export async function runDeployment ({ seed, durationMs, program, instances, workers, perSecond, processorShares = [1], logFile }: DeploymentOptions): Promise<readonly string[]> {
  const profile = PROFILES[seed % PROFILES.length] as typeof PROFILES[number]
  const teams = Array.from({ length: TEAMS }, (_, index) => ({ name: `team-${index}`, key: `key-${index}`, cap: index % 4 === 3 ? TEAM_CAP_CPU_PER_WORKER * workers : 0 }))
  const hash = (text: string): number => murmurhash.v3(`${seed} ${text}`)
  const cell = await SoakCell.start({
    seed,
    direct: true,
    processorShares,
    instances,
    workers,
    workerCpu: WORKER_CPU,
    stopMs: 100,
    host: `127.${10 + process.pid % 90}.${(seed >> 8) & 0xff}.${1 + (seed & 0xff) % 254}`,
    program,
    teams,
    queues: JOB_CLASSES.map(({ prefix }, index) => ({ name: prefix.replaceAll('/', ''), prefix, priority: index, ...(index === 2 ? { adviceMs: ADVICE_MS } : {}) })),
    workMs: (task, attempt) => (callers.jobs.get(parseTaskName(task)?.job ?? '')?.jobClass.workMs ?? 0) * (1 - WORK_SPREAD / 2 + WORK_SPREAD * (hash(`${task} ${attempt}`) % HASH_STEPS) / HASH_STEPS)
  })
  const callers: DeploymentCallers = new DeploymentCallers({ seed, perSecond, teams, addresses: () => cell.callerAddresses })
  cell.platform.store.longestLateWriteMs = LONGEST_LATE_WRITE_MS
  const plan = createDeploymentPlan({ seed, durationMs, instances, workers }, profile)
  const delay = monitorEventLoopDelay()
  delay.enable()
  let silent: readonly string[] = []
  let finishedAtMs = 0
  try {
    finishedAtMs = await playDisruptions({ cell, callers, plan, durationMs, instances, slowStartMs: START_PROCESSOR_MS * (1 / Math.min(1, ...processorShares) - 1), downMs: SHORTEST_LOSS_MS + hash('loss') % (LONGEST_LOSS_MS - SHORTEST_LOSS_MS) })
    silent = await callers.askForAll()
  } finally {
    await cell.stop()
  }
  const events = cell.platform.events.filter(({ atMs }) => atMs <= finishedAtMs)
  const jobs = [...callers.jobs.values()]
  const violations = [
    ...cell.violations,
    ...checkSoak({ jobs: callers.jobs, events: cell.platform.events, acknowledged: cell.platform.acknowledged, workerCpu: WORKER_CPU, capacityChanges: cell.platform.capacityChanges, teamCaps: new Map(teams.map(({ name, cap }) => [name, cap])), allowsUnfinished: true })
      .filter(violation => !isOfGang(violation, callers.jobs)),
    ...silent.map(id => `LOST (B): nobody answered for ${id} at the end`),
    ...findStuckJobs({ jobs, events, atMs: finishedAtMs, capacity: WORKER_CPU * workers, caps: new Map(teams.map(({ name, cap }) => [name, cap * cell.capFactor])) }),
    ...findCutCalls(callers.unanswered, cell.disruptions, events)
  ]
  const accepted = jobs.filter(({ acceptedAtMs }) => acceptedAtMs !== undefined)
  const unfinished = accepted.filter(job => job.lasting !== true && !job.cancelSent && job.shownStates.at(-1)?.state !== 'completed')
  console.log(`seed ${seed} ${profile}: ${jobs.length} jobs, ${accepted.length} accepted, ${unfinished.length} unfinished, ${callers.calls} calls, ${callers.unanswered.length} unanswered, ${events.filter(({ type }) => type === 'started').length} starts, ${cell.disruptions.length} disruptions of instances, ${plan.length} planned, delay of this process ${Math.round(delay.percentile(99) / 1e6)} ms (99%) ${Math.round(delay.max / 1e6)} ms, ${violations.length} violations`)
  console.log(`  answers: ${[...callers.statusCounts].map(([result, count]) => `${result} ${count}`).join(', ')}`)
  await writeFile(logFile, [
    ...violations,
    ...jobs.map(job => JSON.stringify(job)),
    ...events.map(event => JSON.stringify(event)),
    ...callers.unanswered.map(call => JSON.stringify(call)),
    ...cell.disruptions.map(disruption => JSON.stringify(disruption)),
    ...plan.map(({ atMs, fault }) => `${atMs} ${JSON.stringify(fault)}`),
    ...cell.lines
  ].join('\n'))
  return violations
}

interface Play {
  readonly cell: SoakCell
  readonly callers: DeploymentCallers
  readonly plan: readonly PlannedFault[]
  readonly durationMs: number
  readonly instances: number
  readonly downMs: number
  /** Additional time for the start of instances with a small share of a processor. */
  readonly slowStartMs: number
}

/** Returns the time at which the jobs have finished, or had time to. */
async function playDisruptions ({ cell, callers, plan, durationMs, instances, downMs, slowStartMs }: Play): Promise<number> {
  await sleep(instances * STARTUP_MS_PER_INSTANCE + slowStartMs)
  const running = callers.run()
  const faults = plan.map(async ({ atMs, fault }) => {
    await sleep(atMs)
    await cell.injectFault(fault)
  })
  await sleep(durationMs)
  await new Promise<void>(resolve => {
    callers.onAccepted = () => {
      callers.onAccepted = () => {}
      cell.injectFault({ type: 'kill', instances: Array.from({ length: instances }, (_, index) => index), forMs: downMs }).then(resolve, resolve)
    }
    setTimeout(resolve, TRAFFIC_AFTER_LOSS_MS)
  })
  await sleep(TRAFFIC_AFTER_LOSS_MS)
  callers.stopSubmitting()
  await Promise.all([running, ...faults])
  for (const untilMs = Date.now() + FINISH_MS; Date.now() < untilMs && !callers.allFinished;) await sleep(100)
  return Date.now()
}

/** The stand-in targets end the tasks of a gang one by one, while the first end represents all of them. */
function isOfGang (violation: string, jobs: ReadonlyMap<string, DeploymentJob>): boolean {
  const [, rule, id = ''] = /^(ORDER|MIXED|TWICE): ([0-9a-f]+)/.exec(violation) ?? []
  return rule !== undefined && jobs.get(id)?.gang === true
}
