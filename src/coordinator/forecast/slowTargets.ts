/** Finds targets on which runs take longer than the same work does elsewhere. Handles targets that are slowed down for a while, for example by heat or by neighbours. */
import type { StepProgress } from '../../jobs/stepProgress.ts'
import type { Assignment } from '../targets/assignment.ts'

/** After this time a target gets work again, which shows whether it is still slow. */
const EVIDENCE_MS = 10_000
/** Jobs with a run on the target. With four, 1 in 200 targets that are not slow has such a mean rank. */
const MIN_JOBS = 4
/** Mean fraction of the runs of the same work that are shorter; 0.5 where nothing is slow. */
const MIN_MEAN_RANK = 0.85
/** Runs whose times hardly vary have an extreme rank for a small difference. */
const MIN_SLOWDOWN = 1.5
/** Evidence kept per target. */
const MAX_ENDS = 64
const MAX_SLOW_RATIO = 0.1

/** The distributions that runs are compared with. */
export interface PeerRunTimes {
  expectedMs (step: StepProgress): number
  remoteFactor (step: StepProgress): number
  /** Undefined if the run times of such steps are not known. */
  fractionWithin (step: StepProgress, durationMs: number): number | undefined
}

/** A target with the runs that it has now. */
export interface ObservedTarget {
  readonly key: string
  readonly description: { readonly service: string }
  readonly assignments: ReadonlyMap<string, Assignment>
}

/** How a run compares with its peers. */
interface Comparison {
  readonly job: string
  readonly rank: number
  /** Logarithm of the ratio of its time to the expected time. */
  readonly logSlowdown: number
}

type EndedComparison = Comparison & { readonly atMs: number }

/**
 * Compares the runs of each target with the learned run times. At most a tenth of the targets of a service count as slow.
 *
 * @example
 * slowTargets.recordEnd(session.key, assignment, nowMs)
 * slowTargets.update(fleet.usable, nowMs)
 * slowTargets.isSlow(session.key)
 */
export class SlowTargets {
  readonly #runTimes: PeerRunTimes
  readonly #ends = new Map<string, EndedComparison[]>()
  #slow: ReadonlySet<string> = new Set()

  constructor (runTimes: PeerRunTimes) {
    this.#runTimes = runTimes
  }

  /** Keys of the targets that are slow. */
  get slow (): ReadonlySet<string> {
    return this.#slow
  }

  isSlow (key: string): boolean {
    return this.#slow.has(key)
  }

  /** Records a run that ended as done. */
  recordEnd (key: string, assignment: Assignment, nowMs: number): void {
    const comparison = this.#compare(assignment, nowMs)
    if (comparison === undefined) return
    const ends = this.#ends.get(key) ?? []
    this.#ends.set(key, ends)
    ends.push({ ...comparison, atMs: nowMs })
    if (ends.length > MAX_ENDS) ends.shift()
  }

  /** Decides anew which targets are slow; returns whether that has changed. */
  update (targets: readonly ObservedTarget[], nowMs: number): boolean {
    for (const [key, ends] of this.#ends) {
      const recent = ends.filter(({ atMs }) => nowMs - atMs < EVIDENCE_MS)
      if (recent.length > 0) this.#ends.set(key, recent)
      else this.#ends.delete(key)
    }
    const services = new Map<string, { targets: number, suspects: { key: string, slowdown: number }[] }>()
    for (const target of targets) {
      const service = services.get(target.description.service) ?? { targets: 0, suspects: [] }
      services.set(target.description.service, service)
      service.targets += 1
      const slowdown = this.#slowdownOf(target, nowMs)
      if (slowdown !== undefined) service.suspects.push({ key: target.key, slowdown })
    }
    const slow = new Set<string>()
    for (const service of services.values()) {
      service.suspects.sort((left, right) => right.slowdown - left.slowdown)
      for (const { key } of service.suspects.slice(0, Math.floor(service.targets * MAX_SLOW_RATIO))) slow.add(key)
    }
    const changed = slow.size !== this.#slow.size || [...slow].some(key => !this.#slow.has(key))
    this.#slow = slow
    return changed
  }

  /** Returns the mean logarithmic slowdown of a slow target; undefined for others. Runs of one job count as one, since they may all be long. */
  #slowdownOf ({ key, assignments }: ObservedTarget, nowMs: number): number | undefined {
    const byJob = new Map<string, Comparison[]>()
    const add = (comparison: Comparison): void => {
      const ofJob = byJob.get(comparison.job)
      if (ofJob === undefined) byJob.set(comparison.job, [comparison])
      else ofJob.push(comparison)
    }
    for (const end of this.#ends.get(key) ?? []) add(end)
    for (const assignment of assignments.values()) {
      const comparison = this.#compareRunning(assignment, nowMs)
      if (comparison !== undefined) add(comparison)
    }
    if (byJob.size < MIN_JOBS) return undefined
    const means = [...byJob.values()].map(each => ({ rank: mean(each.map(({ rank }) => rank)), logSlowdown: mean(each.map(({ logSlowdown }) => logSlowdown)) }))
    const slowdown = mean(means.map(({ logSlowdown }) => logSlowdown))
    return mean(means.map(({ rank }) => rank)) >= MIN_MEAN_RANK && slowdown >= Math.log(MIN_SLOWDOWN) ? slowdown : undefined
  }

  /** Compares a run that has already lasted longer than expected, since a slow target has few ends. */
  #compareRunning (assignment: Assignment, nowMs: number): Comparison | undefined {
    const { startedAtMs, state, task: { step } } = assignment
    if (startedAtMs === undefined || state !== 'running') return undefined
    const overdueMs = nowMs - startedAtMs - this.#runTimes.expectedMs(step) * (assignment.isRemote ? this.#runTimes.remoteFactor(step) : 1)
    return overdueMs > 0 && overdueMs < EVIDENCE_MS ? this.#compare(assignment, nowMs) : undefined
  }

  #compare ({ startedAtMs, isStartSeen, isResumed, isRemote, task: { step } }: Assignment, nowMs: number): Comparison | undefined {
    if (startedAtMs === undefined || !isStartSeen || isResumed || step.definition.longRunning) return undefined
    // Any run takes infinitely longer than a declared time of 0.
    if (!(step.definition.estimateMs > 0)) return undefined
    const durationMs = (nowMs - startedAtMs) / (isRemote ? this.#runTimes.remoteFactor(step) : 1)
    const rank = this.#runTimes.fractionWithin(step, durationMs)
    return rank === undefined ? undefined : { job: step.job.id, rank, logSlowdown: Math.log(Math.max(durationMs, 1) / this.#runTimes.expectedMs(step)) }
  }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
