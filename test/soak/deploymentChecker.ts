/** Judges a run of a large deployment: calls that were cut around planned work, and accepted jobs that wait although there is room. */
import type { WorkerEvent } from '../../src/platform/standIn/standInWorker.ts'
import type { CallRecord, DeploymentJob } from './deploymentCallers.ts'
import type { Disruption } from './soakCell.ts'

/** Bounds of the platform. */
const LOSS_SLACK_MS = 200
const CONTACT_MS = 5_000
const STOP_WINDOW_MS = 7_000
const CHANGE_WINDOW_MS = 4_000
const STUCK_MS = 3_000
const LASTING_STUCK_MS = 6_000

export interface FinishedRun {
  readonly jobs: readonly DeploymentJob[]
  readonly events: readonly WorkerEvent[]
  readonly atMs: number
  /** Capacity of all targets, in thousandths of a core. */
  readonly capacity: number
  /** Caps of the teams that have one, in thousandths of a core. */
  readonly caps: ReadonlyMap<string, number>
}

/**
 * Returns the calls that were cut around planned work, without an unplanned disruption near: later than `LOSS_SLACK_MS`
 * after their last byte was sent, or sooner if a task of the submission that they carried had been started.
 *
 * @example
 * t.deepEqual(findCutCalls(callers.unanswered, cell.disruptions, cell.platform.events), [])
 */
export function findCutCalls (calls: readonly CallRecord[], disruptions: readonly Disruption[], events: readonly WorkerEvent[]): readonly string[] {
  const firstStartMs = new Map<string, number>()
  for (const { type, task, atMs } of events) {
    const job = task.split('.')[0] as string
    if (type === 'started' && !firstStartMs.has(job)) firstStartMs.set(job, atMs)
  }
  const hasStartedWork = ({ method, path, startedAtMs, endedAtMs }: CallRecord): boolean => {
    const startMs = firstStartMs.get(path.split('/').at(-1) as string) ?? Infinity
    return method === 'POST' && startMs >= startedAtMs && startMs <= endedAtMs
  }
  return calls.flatMap(call => {
    const { instance, method, path, reusedConnection, sentAtMs, endedAtMs, failure } = call
    if (sentAtMs === undefined || failure === 'time-out' || (endedAtMs - sentAtMs <= LOSS_SLACK_MS && !hasStartedWork(call))) return []
    const concerning = disruptions.filter(disruption => disruption.instance === undefined || disruption.instance === instance)
    if (concerning.some(({ planned, atMs, untilMs }) => !planned && atMs <= endedAtMs + LOSS_SLACK_MS && untilMs >= sentAtMs - CONTACT_MS)) return []
    const work = concerning.filter(({ planned, what, atMs }) => planned && atMs <= endedAtMs && endedAtMs < atMs + (what === 'SIGTERM' ? STOP_WINDOW_MS : CHANGE_WINDOW_MS))
    if (work.length === 0) return []
    return [`LOST (A): ${method} ${path} at entry-${instance} (${reusedConnection ? 'open' : 'new'} connection) ended with ${failure} ${endedAtMs - sentAtMs} ms after its last byte, at ${new Date(endedAtMs).toISOString()}, ${work.map(({ what, atMs }) => `${endedAtMs - atMs} ms after ${what}`).join(', ')}`]
  })
}

/**
 * Returns the accepted jobs of which nothing has run for `STUCK_MS` although less than half of the capacity and of their
 * cap was in use, and the lasting tasks that have not run for `LASTING_STUCK_MS`.
 *
 * @example
 * t.deepEqual(findStuckJobs({ jobs, events, atMs, capacity: 64_000, caps: new Map() }), [])
 */
export function findStuckJobs ({ jobs, events, atMs, capacity, caps }: FinishedRun): readonly string[] {
  const usage = new Usage(jobs, events, atMs)
  return jobs.flatMap(job => {
    const cap = caps.get(job.team) ?? 0
    const teamUsed = usage.mostByTeam.get(job.team) ?? 0
    const hasRoom = usage.most < capacity / 2 && (cap === 0 || teamUsed < cap / 2)
    if (!hasRoom || job.acceptedAtMs === undefined || job.cancelSent || job.shownStates.at(-1)?.state === 'completed') return []
    const tasks = job.steps.flatMap((count, step) => Array.from({ length: count }, (_, index) => `${job.id}.0.${step}.${index}`))
    const waiting = job.lasting === true ? tasks.map(task => [task]) : [tasks]
    return waiting.flatMap(group => {
      const idleMs = usage.idleMs(group, job.acceptedAtMs as number)
      if (idleMs < (job.lasting === true ? LASTING_STUCK_MS : STUCK_MS)) return []
      return [`LOST (D): ${group[0]} and ${group.length - 1} more (${job.jobClass.prefix}, ${job.shownStates.at(-1)?.state}) have not run for ${idleMs} ms; in use ${usage.most} of ${capacity}, by ${job.team} ${teamUsed} of ${cap}`]
    })
  })
}

/** What ran in the last `STUCK_MS`, in thousandths of a core. */
class Usage {
  most = 0
  readonly mostByTeam = new Map<string, number>()
  readonly #running = new Map<string, number>()
  readonly #lastEventMs = new Map<string, number>()
  readonly #atMs: number

  constructor (jobs: readonly DeploymentJob[], events: readonly WorkerEvent[], atMs: number) {
    this.#atMs = atMs
    const byId = new Map(jobs.map(job => [job.id, job]))
    const used = new Map<string, number>()
    let total = 0
    for (const { type, task, atMs: eventMs } of events) {
      const { cpu = 0, team = '' } = byId.get(task.split('.')[0] as string) ?? {}
      if (eventMs > atMs - STUCK_MS) this.#sample(total, used)
      const sign = type === 'started' ? 1 : -1
      total += sign * cpu
      used.set(team, (used.get(team) ?? 0) + sign * cpu)
      this.#running.set(task, (this.#running.get(task) ?? 0) + sign)
      this.#lastEventMs.set(task, eventMs)
    }
    this.#sample(total, used)
  }

  /** Time since a task of the group ran last, or since `sinceMs` if none did; 0 if one runs. */
  idleMs (tasks: readonly string[], sinceMs: number): number {
    if (tasks.some(task => (this.#running.get(task) ?? 0) > 0)) return 0
    return this.#atMs - Math.max(sinceMs, ...tasks.map(task => this.#lastEventMs.get(task) ?? 0))
  }

  #sample (total: number, used: ReadonlyMap<string, number>): void {
    this.most = Math.max(this.most, total)
    for (const [team, cpu] of used) this.mostByTeam.set(team, Math.max(this.mostByTeam.get(team) ?? 0, cpu))
  }
}
