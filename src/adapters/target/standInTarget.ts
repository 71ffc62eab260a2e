/** An in-process simulation of one runner or worker, independent of any protocol. */
import { InputError, RefusalError } from '../../model/errors.ts'
import { NO_RESOURCES, addResources, fits, maximumResources, subtractResources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { TargetFeatures, TargetInfo, TaskReport } from '../../model/target.ts'
import type { Clock } from '../../ports/clock.ts'
import type { FenceResult, TargetRefusal, TaskCommand, TaskStart } from '../../ports/targetClient.ts'
import { StandInTask } from './standInTask.ts'
import type { TaskHistory } from './standInTask.ts'

/** Delay until a task's usage appears in its reports. */
export const DEFAULT_USAGE_LAG_MS = 2_000

/** Number of ended tasks whose answers are retained, for repeated deliveries of their starts. */
const MAX_RETAINED_ANSWERS = 1_000

/** Number of refused and stopped task identities that are retained, so that a late duplicate of the start does not run. */
const MAX_RETAINED_REFUSALS = 10_000

export type StandInStart =
  | { readonly outcome: 'refused', readonly refusal: TargetRefusal }
  | { readonly outcome: 'started', readonly task: StandInTask }

/**
 * A target that enforces the rules of a real one and records every run. Its writable properties
 * change its behaviour from the next call on.
 *
 * @example
 * const target = new StandInTarget(info, clock)
 * target.fence(1)
 * const started = target.start(taskStart)
 */
export class StandInTarget {
  /** Disabled features simulate a target that does not support them. */
  features: TargetFeatures
  /** Refuses new tasks; running ones continue to their end. */
  leaving: boolean
  /** Makes every task fail as soon as it starts. */
  failsEverything = false
  usageLagMs: number
  /** Number of refused starts, by reason. */
  readonly refusals: Record<TargetRefusal, number> =
    { 'no-capacity': 0, fenced: 0, 'too-late': 0, leaving: 0, 'unknown-task': 0 }

  readonly #info: TargetInfo
  readonly #clock: Clock
  readonly #tasks = new Map<string, StandInTask>()
  /** Every task, in order of starts. */
  readonly #started: StandInTask[] = []
  readonly #retained: StandInTask[] = []
  readonly #running = new Set<StandInTask>()
  readonly #refusalByTaskId = new Map<string, TargetRefusal>()
  #reserved: Resources = NO_RESOURCES
  #highestReserved: Resources = NO_RESOURCES
  #connections = 0
  #highestConnections = 0
  #epoch = 0
  #crashed = false

  constructor (info: TargetInfo, clock: Clock, usageLagMs = DEFAULT_USAGE_LAG_MS) {
    this.#info = info
    this.#clock = clock
    this.features = info.features
    this.leaving = info.leaving
    this.usageLagMs = usageLagMs
  }

  get info (): TargetInfo {
    return { ...this.#info, features: this.features, leaving: this.leaving }
  }

  /** Every run so far, in order of starts. */
  get history (): readonly TaskHistory[] {
    return this.#started.map(task => task.history)
  }

  get reserved (): Resources {
    return this.#reserved
  }

  /** The peak of the summed sizes of running tasks, by dimension. */
  get highestReserved (): Resources {
    return this.#highestReserved
  }

  get highestConnections (): number {
    return this.#highestConnections
  }

  /** The highest epoch seen. */
  get epoch (): number {
    return this.#epoch
  }

  get crashed (): boolean {
    return this.#crashed
  }

  /** Counts a connection until the returned function is called. */
  openConnection (): () => void {
    this.#connections++
    this.#highestConnections = Math.max(this.#highestConnections, this.#connections)
    let open = true
    return () => {
      if (open) this.#connections--
      open = false
    }
  }

  fence (epoch: number): FenceResult {
    if (this.#isFenced(epoch)) return { outcome: 'refused', highestEpoch: this.#epoch }
    this.#raiseEpoch(epoch)
    return { outcome: 'fenced', tasks: this.features.inventory ? this.usage() : [] }
  }

  /** Starts a task, or returns the task that was already started under the same identity. */
  start (start: TaskStart): StandInStart {
    const known = this.#tasks.get(start.taskId)
    if (known !== undefined) return { outcome: 'started', task: known }
    const refusal = this.#refusalByTaskId.get(start.taskId) ?? this.#findRefusal(start)
    if (refusal !== undefined) {
      this.refusals[refusal]++
      this.#recordRefusal(start.taskId, refusal)
      return { outcome: 'refused', refusal }
    }
    this.#raiseEpoch(start.epoch)
    const task = new StandInTask(start, this.#clock, ended => this.#release(ended))
    this.#tasks.set(start.taskId, task)
    this.#started.push(task)
    this.#running.add(task)
    this.#reserved = addResources(this.#reserved, start.size)
    this.#highestReserved = maximumResources(this.#highestReserved, this.#reserved)
    if (this.failsEverything) task.end('failed', 'the target is set to fail every task')
    else task.run()
    return { outcome: 'started', task }
  }

  /** Extends a lease. Returns undefined for an unknown task; throws a refusal with code `fenced` for a lower epoch. */
  renew (taskId: string, epoch: number, leaseMs: number): TaskReport | undefined {
    this.#assertNotFenced(epoch)
    const task = this.#tasks.get(taskId)
    task?.renew(epoch, leaseMs)
    return task?.report(this.usageLagMs)
  }

  /** Executes a command; stopping an unknown task also prevents that task from starting later. */
  command (taskId: string, epoch: number, command: TaskCommand): TaskReport | undefined {
    this.#assertNotFenced(epoch)
    const task = this.#tasks.get(taskId)
    if (task === undefined) {
      if (command === 'stop') this.#recordRefusal(taskId, 'unknown-task')
      return undefined
    }
    if (command === 'stop') task.end('stopped', 'the task was stopped')
    if (command === 'throttle') task.throttle()
    if (command === 'checkpoint') {
      if (!this.features.checkpoint) throw new InputError(`target ${this.#info.id} does not support checkpoints`)
      task.end('checkpointed', 'the task was checkpointed')
    }
    return task.report(this.usageLagMs)
  }

  inspect (taskId: string): TaskReport | undefined {
    return this.#tasks.get(taskId)?.report(this.usageLagMs)
  }

  /** Reports of the running tasks. */
  usage (): readonly TaskReport[] {
    return [...this.#running].map(task => task.report(this.usageLagMs))
  }

  /** Ends every task, and makes the target unreachable until `recover`. */
  crash (): void {
    this.#crashed = true
    for (const task of [...this.#running]) task.end('crashed', 'the target crashed')
  }

  /** Makes a crashed target reachable again, with its epoch and without tasks. */
  recover (): void {
    this.#crashed = false
  }

  #findRefusal (start: TaskStart): TargetRefusal | undefined {
    if (this.#isFenced(start.epoch)) return 'fenced'
    if (this.leaving) return 'leaving'
    if (this.features.startBy && this.#clock.wallMs() > start.startByWallMs) return 'too-late'
    if (this.#connections > this.#info.connections) return 'no-capacity'
    if (!fits(start.size, subtractResources(this.#info.capacity, this.#reserved))) return 'no-capacity'
    return undefined
  }

  #isFenced (epoch: number): boolean {
    return this.features.fencing && epoch < this.#epoch
  }

  #assertNotFenced (epoch: number): void {
    if (this.#isFenced(epoch)) {
      throw new RefusalError(`epoch ${epoch} is below epoch ${this.#epoch} of target ${this.#info.id}`,
        { code: 'fenced', verdict: 'may-have-run' })
    }
    this.#raiseEpoch(epoch)
  }

  #raiseEpoch (epoch: number): void {
    this.#epoch = Math.max(this.#epoch, epoch)
  }

  #recordRefusal (taskId: string, refusal: TargetRefusal): void {
    this.#refusalByTaskId.set(taskId, refusal)
    const [oldest] = this.#refusalByTaskId.keys()
    if (this.#refusalByTaskId.size > MAX_RETAINED_REFUSALS && oldest !== undefined) this.#refusalByTaskId.delete(oldest)
  }

  #release (task: StandInTask): void {
    this.#running.delete(task)
    this.#reserved = subtractResources(this.#reserved, task.size)
    this.#retained.push(task)
    if (this.#retained.length > MAX_RETAINED_ANSWERS) this.#retained.shift()?.discardAnswer()
  }
}
