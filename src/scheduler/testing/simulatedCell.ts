/** A simulated data centre that records a violation whenever a task start exceeds a target's capacity or the team's limit. */
import { sameInstance } from '../../model/identity.ts'
import { resources } from '../../model/resources.ts'
import type { TargetFeatures, TargetInfo } from '../../model/target.ts'
import { ManualClock } from '../../adapters/clock/manualClock.ts'
import type { MembershipView } from '../ownership/ownershipPlanner.ts'
import { FakeStore } from './fakeStore.ts'
import { FakeTargets } from './fakeTarget.ts'
import { ONE_SLOT, SimulatedInstance, TEAM } from './simulatedInstance.ts'

const SUSPICION_MS = 4_000
const LIST_LAG_MS = 10_000
const TICK_MS = 250
const TASK_END_INTERVAL_MS = 500
const SLOTS = 3

export const FENCING: TargetFeatures = { fencing: true, startBy: false, inventory: true, checkpoint: false }
export const START_BY: TargetFeatures = { fencing: false, startBy: true, inventory: true, checkpoint: false }
export const PLAIN: TargetFeatures = { fencing: false, startBy: false, inventory: false, checkpoint: false }

export function createTarget (id: string, features: TargetFeatures): TargetInfo {
  return {
    id,
    type: 'runner',
    address: id,
    dataCentre: 'howrah',
    region: 'kolkata',
    rack: 'a',
    capacity: resources({ slots: SLOTS }),
    connections: 64,
    features,
    leaving: false
  }
}

export class SimulatedCell {
  readonly clock = new ManualClock()
  readonly store = new FakeStore()
  readonly targets = new FakeTargets()
  readonly limit: number
  readonly instances: SimulatedInstance[] = []
  readonly violations: string[] = []
  readonly #started = new Set<string>()
  #taskCount = 0
  #incarnations = 0
  listed: readonly TargetInfo[]

  constructor (listed: readonly TargetInfo[], limit: number) {
    this.listed = listed
    this.limit = limit
  }

  async addInstance (name: string): Promise<SimulatedInstance> {
    const incarnation = `first${this.#incarnations++}`
    const instance = new SimulatedInstance(this, { name, incarnation }, this.#incarnations * 100)
    this.instances.push(instance)
    await instance.start()
    return instance
  }

  get alive (): readonly SimulatedInstance[] {
    return this.instances.filter(instance => instance.running)
  }

  instanceAt (address: string): SimulatedInstance | undefined {
    return this.alive.find(instance => instance.address === address)
  }

  findDonor (asking: SimulatedInstance, team: string): string | undefined {
    return this.alive.filter(other => other !== asking)
      .sort((left, right) => right.allotments.spare(team).slots - left.allotments.spare(team).slots)[0]?.address
  }

  nextTaskId (): string {
    return `task-${this.#taskCount++}`
  }

  hasStarted (taskId: string): boolean {
    return this.#started.has(taskId)
  }

  get runningTasks (): number {
    return this.listed.reduce((sum, target) => sum + this.targets.tasksOn(target.id).length, 0)
  }

  get startedTasks (): number {
    return this.#started.size
  }

  /** Handles a task start that arrives at a target, and records every violated invariant. */
  start (target: TargetInfo, taskId: string, epoch: number, startByMs: number): boolean {
    const task = {
      taskId, team: TEAM, kind: 'batch', requestId: taskId, name: 'weave', size: ONE_SLOT, epoch, state: 'running'
    } as const
    if (!this.targets.start(target, task, this.clock.monotonicMs() - startByMs)) return false
    this.#started.add(taskId)
    const onTarget = this.targets.tasksOn(target.id).length
    if (onTarget > target.capacity.slots) this.violations.push(`${onTarget} tasks on ${target.id} at ${this.clock.monotonicMs()}`)
    if (this.runningTasks > this.limit) this.violations.push(`${this.runningTasks} tasks of limit ${this.limit} at ${this.clock.monotonicMs()}`)
    return true
  }

  endOldest (targetIndex: number): void {
    const target = this.listed[targetIndex % this.listed.length]
    const oldest = target && this.targets.tasksOn(target.id)[0]
    if (target && oldest) this.targets.end(target.id, oldest.taskId)
  }

  /** Advances the clock; in each tick, every running instance starts tasks where it may. */
  async run (durationMs: number, endTasks = true): Promise<void> {
    for (let elapsed = 0; elapsed < durationMs; elapsed += TICK_MS) {
      const now = this.clock.monotonicMs()
      if (endTasks && now % TASK_END_INTERVAL_MS === 0) this.endOldest(now / TASK_END_INTERVAL_MS)
      for (const instance of this.alive) {
        if (instance.faults.paused) continue
        if (!instance.partitionedFromPeers) instance.lastHeardMs = now
        instance.refundEndedTasks()
        instance.startTasks()
      }
      await this.clock.advance(TICK_MS)
    }
  }

  membershipOf (viewer: SimulatedInstance): MembershipView {
    const canHear = (other: SimulatedInstance): boolean =>
      other === viewer || (!viewer.partitionedFromPeers && this.clock.monotonicMs() - other.lastHeardMs <= SUSPICION_MS)
    return {
      liveMembers: () => this.alive.filter(other => canHear(other) && !other.draining).map(instance => instance.ownership.self),
      isSuspected: ref => !this.instances.some(instance => sameInstance(instance.ownership.self, ref) && canHear(instance)),
      isGoneFromList: ref => this.instances.some(instance => instance.address === ref.name &&
        instance.crashedAtMs !== undefined && this.clock.monotonicMs() - instance.crashedAtMs > LIST_LAG_MS)
    }
  }
}
