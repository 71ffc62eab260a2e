/** Finds accepted jobs that wait although the targets of a simulated cluster are mostly idle. */
import type { StepProgress } from '../../jobs/stepProgress.ts'
import { countFitting, requiredResources } from '../placement/placeStep.ts'
import { NO_RESOURCES, subtractResources } from '../../model/resources.ts'
import type { SimulatedCluster } from './simulatedCluster.ts'

/** Longest time for which a job may have nothing running while there is capacity. */
const MAX_WAIT_MS = 3_000
/** After a disturbance of targets or of the coordinator, waits count again from this time on. */
const SETTLE_MS = 4_000
/**
 * The same for tasks whose start may have been lost. It may be executed for 18 s after the predecessor of a coordinator has certainly
 * ended, and its run lasts as long as the longest lease.
 */
export const TRANSIT_MS = 33_000
const SAMPLE_INTERVAL_MS = 250

/**
 * A job waits without a reason if nothing of it runs, a step may start, the targets that this may use have capacity for it
 * twice over, its team uses less than half of its cap, and less than half of the service's capacity is in use.
 *
 * @example
 * const check = new WaitCheck(cluster)
 * check.recordDisturbance()
 * await check.advance(5_000)
 * check.violations
 */
export class WaitCheck {
  readonly #cluster: SimulatedCluster
  /** Since when each job has been waiting without a reason. */
  readonly #waitingSinceMs = new Map<string, number>()
  readonly #violations = new Map<string, string>()
  #lastDisturbanceMs = -Infinity
  #lastDepartureMs = -Infinity
  /**
   * Whether jobs of which a task may have crashed a target count as well. Those with two crashes never do: users accept that they
   * are given up, so that they may wait for targets of their own.
   */
  includesSuspected = false

  constructor (cluster: SimulatedCluster) {
    this.#cluster = cluster
  }

  get violations (): readonly string[] {
    return [...this.#violations.values()]
  }

  /** Records that a target or the coordinator fails or comes back now. */
  recordDisturbance (): void {
    this.#lastDisturbanceMs = this.#lastDepartureMs = this.#cluster.clock.monotonicMs()
  }

  /** Records that a target leaves as planned. */
  recordDeparture (): void {
    this.#lastDepartureMs = this.#cluster.clock.monotonicMs()
  }

  /** Advances the time of the cluster, and looks at the jobs on the way. */
  async advance (durationMs: number): Promise<void> {
    for (let leftMs = durationMs; leftMs > 0; leftMs -= SAMPLE_INTERVAL_MS) {
      await this.#cluster.clock.advance(Math.min(leftMs, SAMPLE_INTERVAL_MS))
      this.#sample()
    }
  }

  #sample (): void {
    const { clock, accepted, coordinator } = this.#cluster
    const nowMs = clock.monotonicMs()
    for (const id of accepted.keys()) {
      const job = coordinator.ready ? coordinator.table.jobs.get(id) : undefined
      const step = job?.outcome === undefined ? job?.steps.find(each => !each.done && job.isReady(each) && this.#couldStart(each)) : undefined
      if (step === undefined || nowMs < this.#lastDisturbanceMs + SETTLE_MS) {
        this.#waitingSinceMs.delete(id)
        continue
      }
      const sinceMs = this.#waitingSinceMs.get(id) ?? nowMs
      this.#waitingSinceMs.set(id, sinceMs)
      if (nowMs - sinceMs >= MAX_WAIT_MS && !this.#violations.has(id)) this.#violations.set(id, `${id} waits from ${sinceMs} to ${nowMs}: ${step.tasks.map(({ index, state, attempt, placedOn }) => `${index} ${state} ${attempt} ${placedOn}`).join(', ')}`)
    }
  }

  #couldStart (step: StepProgress): boolean {
    const { job, definition } = step
    const suspected = job.steps.flatMap(({ suspectedTasks }) => suspectedTasks)
    if (this.includesSuspected ? suspected.some(({ crashHistory }) => crashHistory.crashes > 1) : suspected.length > 0) return false
    const targets = this.#cluster.offeredTargets
    const runs = targets.flatMap(({ running }) => running)
    if (this.#cluster.running.some(task => task.startsWith(`${job.id}.`))) return false
    const inUse = runs.reduce((sum, task) => sum + (this.#cluster.definitionOf(task)?.size.processors ?? 0), 0)
    if (inUse >= targets.reduce((sum, { capacity }) => sum + capacity.processors, 0) / 2) return false
    const needed = definition.gang ? definition.count : 1
    const mayBeInTransit = this.#cluster.clock.monotonicMs() < this.#lastDepartureMs + TRANSIT_MS
    // What was started on a target that has left counts against the cap of its team until then.
    if (mayBeInTransit && (step.waiting.length < needed || this.#cluster.capOf(job.team) > 0)) return false
    return this.#isWithinCap(step, needed) && this.#countPlaces(step) >= needed * 2
  }

  #isWithinCap ({ job, definition }: StepProgress, needed: number): boolean {
    const cap = this.#cluster.capOf(job.team)
    const inUse = this.#cluster.running.reduce((sum, task) => sum + (this.#cluster.teamOf(task) === job.team ? this.#cluster.definitionOf(task)?.size.processors ?? 0 : 0), 0)
    return cap === 0 || (inUse < cap / 2 && inUse + definition.size.processors * needed <= cap)
  }

  /** Number of the step's tasks that the targets can hold beside what runs there. */
  #countPlaces ({ job, definition }: StepProgress): number {
    const size = requiredResources(definition)
    return this.#cluster.offeredTargets.filter(({ number, labels }) => this.#cluster.permits(job.queue.name, number) && (definition.requiredLabel === '' || labels.includes(definition.requiredLabel))).reduce((sum, { running, capacity }) => {
      const free = running.reduce((left, task) => subtractResources(left, this.#cluster.definitionOf(task)?.size ?? NO_RESOURCES), capacity)
      return sum + Math.min(countFitting(size, free), definition.tasksPerTarget || Infinity)
    }, 0)
  }
}
