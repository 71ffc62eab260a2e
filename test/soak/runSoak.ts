/** Runs one seed: load with overlapping faults, then a settling phase without faults, then the checks. */
import { setTimeout as sleep } from 'node:timers/promises'
import murmurhash from 'murmurhash'
import type { WorkerEvent } from '../../src/platform/standIn/standInWorker.ts'
import { createFaultPlan, findLongestDelay } from './faultPlan.ts'
import type { Fault } from './faultPlan.ts'
import { SoakCallers } from './soakCallers.ts'
import { SoakCell } from './soakCell.ts'
import { checkSoak } from './soakChecker.ts'

const WORKER_CPU = 64_000
const FIRST_TASK = '.0.0.0'
const HASH_STEPS = 1_000
/** Cap of the second team in thousandths of a core; the first team has none. */
const TEAM_CAP_CPU = 120_000
const MAX_TASK_MS = 1_500
/** Clocks of targets run up to 2% fast or slow. */
const CLOCK_DRIFT = 0.02
/** Time that targets take to stop a run. */
const STOP_MS = 700
/**
 * Time for the jobs to finish after the last fault: the lease of an unresponsive target (10 s, 2% more on its clock), a
 * takeover, and the backlog.
 */
const SETTLE_TIMEOUT_MS = 30_000
const TEAMS = [{ name: 'weavers', key: 'key-1' }, { name: 'florists', key: 'key-2', cap: TEAM_CAP_CPU }]
const QUEUES = [{ name: 'checks', prefix: '/checks/' }, { name: 'renders', prefix: '/renders/', priority: 1, adviceMs: 15 }]

export interface SoakOptions {
  readonly seed: number
  readonly durationMs: number
  readonly program: readonly string[]
  readonly instances?: number
  readonly workers?: number
  /** Fraction of the jobs whose first task crashes each target that starts it; none by default. */
  readonly deadlyFraction?: number
}

export interface SoakReport {
  readonly seed: number
  readonly violations: readonly string[]
  readonly faults: readonly { readonly atMs: number, readonly fault: Fault }[]
  readonly jobs: number
  readonly accepted: number
  readonly calls: number
  readonly starts: number
  /** Target events of the tasks named in the violations. */
  readonly relatedEvents: readonly WorkerEvent[]
  /** Output lines of the instances. */
  readonly lines: readonly string[]
}

/**
 * Runs the program under the fault plan of the seed.
 *
 * @example
 * const { violations } = await runSoak({ seed: 7, durationMs: 30_000, program: ['dist/agategauge'] })
 */
export async function runSoak ({ seed, durationMs, program, instances = 3, workers = 6, deadlyFraction = 0 }: SoakOptions): Promise<SoakReport> {
  const isDeadly = (job: string): boolean => murmurhash.v3(`${seed} deadly ${job}`) % HASH_STEPS < deadlyFraction * HASH_STEPS
  const cell = await SoakCell.start({
    seed,
    instances,
    workers,
    workerCpu: WORKER_CPU,
    stopMs: STOP_MS,
    host: chooseLoopbackHost(seed),
    program,
    queues: QUEUES,
    teams: TEAMS,
    crashesWorker: task => task.endsWith(FIRST_TASK) && isDeadly(task.slice(0, -FIRST_TASK.length)),
    workMs: (task, attempt) => murmurhash.v3(`${seed} ${task} ${attempt}`) % MAX_TASK_MS,
    clockRate: worker => 1 - CLOCK_DRIFT * (worker % 3 - 1)
  })
  const callers = new SoakCallers({ seed, teams: TEAMS, prefixes: QUEUES.map(({ prefix }) => prefix), addresses: () => cell.callerAddresses, isDeadly })
  const plan = createFaultPlan({ seed, durationMs, instances, workers })
  try {
    const running = callers.run()
    await Promise.all([sleep(durationMs), ...plan.map(async ({ atMs, fault }) => {
      await sleep(atMs)
      await cell.injectFault(fault)
    })])
    await Promise.all([running, callers.stop(SETTLE_TIMEOUT_MS)])
  } finally {
    await cell.stop()
  }
  const { events, acknowledged, capacityChanges } = cell.platform
  const violations = checkSoak({
    jobs: callers.jobs, events, acknowledged, workerCpu: WORKER_CPU, capacityChanges, longestDelayMs: findLongestDelay(plan), teamCaps: new Map(TEAMS.map(({ name, cap = 0 }) => [name, cap]))
  })
  return {
    seed,
    violations: [...cell.violations, ...callers.violations, ...violations],
    faults: plan,
    jobs: callers.jobs.size,
    accepted: [...callers.jobs.values()].filter(({ acceptedAtMs }) => acceptedAtMs !== undefined).length,
    calls: callers.calls,
    starts: events.filter(({ type }) => type === 'started').length,
    relatedEvents: events.filter(({ task }) => violations.some(violation => violation.includes(task))),
    lines: cell.lines
  }
}

/** Returns a loopback host per process and seed, so that parallel runs share no port. */
function chooseLoopbackHost (seed: number): string {
  return `127.${10 + process.pid % 90}.${(seed >> 8) & 0xff}.${1 + (seed & 0xff) % 254}`
}
