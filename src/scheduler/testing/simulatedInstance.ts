/** One instance of a simulated cell, which combines ownership and allotments in the same way as an entry instance. */
import { sameInstance } from '../../model/identity.ts'
import type { InstanceRef } from '../../model/identity.ts'
import { resources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import type { TargetInfo, TaskReport } from '../../model/target.ts'
import type { Clock } from '../../ports/clock.ts'
import { SeededRandom } from '../../adapters/random/seededRandom.ts'
import { AllotmentManager } from '../limits/allotmentManager.ts'
import { OwnershipManager } from '../ownership/ownershipManager.ts'
import { START_BY_WINDOW_MS } from '../ownership/ownershipTiming.ts'
import { InstanceFaults } from './instanceFaults.ts'
import type { SimulatedCell } from './simulatedCell.ts'

export const TEAM = 'weavers'
export const ONE_SLOT = resources({ slots: 1 })

export class SimulatedInstance {
  readonly faults: InstanceFaults
  readonly ownership: OwnershipManager
  readonly allotments: AllotmentManager
  readonly address: string
  crashedAtMs: number | undefined
  partitionedFromPeers = false
  draining = false
  lastHeardMs: number
  readonly #cell: SimulatedCell
  readonly #clock: Clock
  readonly #tasks = new Map<string, Set<string>>()
  /** Tasks on targets that were handed over; charged until a successor has adopted them. */
  readonly #handedOverTasks = new Map<string, Set<string>>()

  constructor (cell: SimulatedCell, ref: InstanceRef, seed: number) {
    this.#cell = cell
    this.address = ref.name
    this.lastHeardMs = cell.clock.monotonicMs()
    this.faults = new InstanceFaults(new SeededRandom(seed))
    this.#clock = {
      monotonicMs: () => cell.clock.monotonicMs(),
      wallMs: () => cell.clock.wallMs(),
      sleep: async (durationMs, signal) => {
        await cell.clock.sleep(durationMs, signal)
        await this.faults.waitWhilePaused()
      }
    }
    const store = cell.store.connect(this.faults, this.#clock)
    this.ownership = new OwnershipManager({
      store,
      targetClient: cell.targets.connect(this.faults),
      clock: this.#clock,
      random: new SeededRandom(seed + 1),
      self: ref,
      dataCentre: 'howrah',
      membership: cell.membershipOf(this),
      listedTargets: () => cell.listed,
      events: {
        onAcquired: (target, _epoch, tasks, _previous, signal) => this.#adopt(target, tasks, signal),
        onLost: (targetId, reason) => {
          if (reason === 'handed-over') this.#handedOverTasks.set(targetId, this.#tasksOn(targetId))
          this.#tasks.delete(targetId)
        },
        onSuccessorAdopted: targetId => {
          for (const taskId of this.#handedOverTasks.get(targetId) ?? []) this.allotments.surrender(taskId)
          this.#handedOverTasks.delete(targetId)
        },
        onRemovedFromMembers: () => {
          this.#tasks.clear()
          this.#handedOverTasks.clear()
          this.allotments.reset()
        }
      }
    })
    this.allotments = new AllotmentManager({
      store,
      clock: this.#clock,
      dataCentre: 'howrah',
      ownership: this.ownership,
      peerClient: { transferAllotment: (address, receiver, team, wanted) => this.#requestTransfer(address, receiver, team, wanted) },
      findDonor: team => cell.findDonor(this, team),
      dataCentreOf: () => 'howrah'
    })
    this.allotments.setLimit(TEAM, { slots: cell.limit }, 1)
  }

  get running (): boolean {
    return this.crashedAtMs === undefined
  }

  async start (): Promise<void> {
    await this.ownership.start()
    await this.allotments.start()
  }

  crash (): void {
    this.crashedAtMs = this.#cell.clock.monotonicMs()
    this.faults.crash()
  }

  /** Hands over all targets, returns all allotments, then leaves the members. */
  async drain (signal: AbortSignal): Promise<void> {
    this.draining = true
    await this.ownership.handOverAll(signal)
    this.allotments.setQueuedDemand(TEAM, resources({}))
    await this.allotments.releaseAll(signal)
    await this.ownership.leave(signal)
  }

  /** Starts one task on every owned target with a free slot, if the allotment allows it. */
  startTasks (): void {
    let queued = 0
    for (const targetId of this.ownership.ownedTargets()) {
      const target = this.#cell.listed.find(info => info.id === targetId)
      const epoch = this.ownership.epochOf(targetId)
      if (target === undefined || epoch === undefined || this.#tasksOn(targetId).size >= target.capacity.slots) continue
      const taskId = this.#cell.nextTaskId()
      if (this.allotments.trySpend(TEAM, taskId, ONE_SLOT)) this.#send(target, epoch, taskId).catch(() => {})
      else queued++
    }
    this.allotments.setQueuedDemand(TEAM, resources({ slots: this.draining ? 0 : queued }))
  }

  /** Refunds tasks that have ended, which a real instance learns from the ends of their streams. */
  refundEndedTasks (): void {
    for (const [targetId, tasks] of [...this.#tasks, ...this.#handedOverTasks]) {
      const running = new Set(this.#cell.targets.tasksOn(targetId).map(task => task.taskId))
      for (const taskId of tasks) {
        if (running.has(taskId) || !this.#cell.hasStarted(taskId)) continue
        tasks.delete(taskId)
        this.allotments.refund(taskId)
      }
    }
  }

  async #send (target: TargetInfo, epoch: number, taskId: string): Promise<void> {
    const self = this.ownership.self
    const tasks = this.#tasksOn(target.id)
    tasks.add(taskId)
    const startByMs = this.#clock.monotonicMs() + START_BY_WINDOW_MS
    await this.faults.waitWhilePaused()
    if (this.#cell.start(target, taskId, epoch, startByMs)) return
    await this.faults.waitWhilePaused()
    tasks.delete(taskId)
    if (!sameInstance(self, this.ownership.self)) return
    this.allotments.refund(taskId)
    this.ownership.reportFenced(target.id, this.#cell.targets.highestEpoch(target.id))
  }

  async #adopt (target: TargetInfo, tasks: readonly TaskReport[], signal: AbortSignal): Promise<void> {
    const adopted = this.#tasksOn(target.id)
    tasks.forEach(task => adopted.add(task.taskId))
    await Promise.all(tasks.map(task => this.allotments.adopt(task.team, task.taskId, task.size)))
    signal.throwIfAborted()
  }

  async #requestTransfer (address: string, receiver: InstanceRef, team: string, wanted: Resources): Promise<Resources> {
    const donor = this.#cell.instanceAt(address)
    if (donor === undefined || this.partitionedFromPeers || donor.partitionedFromPeers) throw new Error('injected fault: the peer is unreachable')
    await donor.faults.waitWhilePaused()
    const given = await donor.allotments.transfer(receiver, team, wanted)
    await this.faults.waitWhilePaused()
    if (this.faults.nextFault('store') === 'answerLost') throw new Error('injected fault: the answer to the transfer was lost')
    return given
  }

  #tasksOn (targetId: string): Set<string> {
    const existing = this.#tasks.get(targetId) ?? new Set<string>()
    this.#tasks.set(targetId, existing)
    return existing
  }
}
