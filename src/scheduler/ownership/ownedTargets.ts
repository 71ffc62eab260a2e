/** Local state of each target that the ownership record assigns to this incarnation. */
import type { IncarnationKey } from '../../model/identity.ts'
import type { TargetInfo } from '../../model/target.ts'
import type { Clock } from '../../ports/clock.ts'
import type { TargetClient } from '../../ports/targetClient.ts'
import type { OwnershipChange } from './ownershipChanges.ts'
import type { LossReason, OwnershipEvents } from './ownershipEvents.ts'
import type { OwnershipRecord, TargetOwnership } from './ownershipRecord.ts'
import { TargetAcquisition } from './targetAcquisition.ts'

/** Tasks may be started only on a target in the `owned` phase. */
type Phase =
  | { readonly type: 'acquiring' | 'adopted' | 'owned' | 'stopping' | 'stopped' }
  | { readonly type: 'refused', readonly highestEpoch: number }

interface OwnedTarget {
  readonly info: TargetInfo
  readonly epoch: number
  readonly abort: AbortController
  phase: Phase
}

export class OwnedTargets {
  readonly #targets = new Map<string, OwnedTarget>()
  readonly #events: OwnershipEvents
  readonly #acquisition: TargetAcquisition
  readonly #wake: () => void
  #listed: ReadonlySet<string> = new Set()
  /** Targets that were handed over and whose tasks no successor is known to have adopted yet. */
  readonly #awaitingSuccessor = new Set<string>()

  constructor (targetClient: Pick<TargetClient, 'fence'>, clock: Clock, events: OwnershipEvents, wake: () => void) {
    this.#events = events
    this.#wake = wake
    this.#acquisition = new TargetAcquisition(targetClient, clock,
      (target, epoch, tasks, previousOwner, signal) => events.onAcquired(target, epoch, tasks, previousOwner, signal))
  }

  epochOf (targetId: string): number | undefined {
    const target = this.#targets.get(targetId)
    return target?.phase.type === 'owned' && this.#listed.has(targetId) ? target.epoch : undefined
  }

  usable (): readonly string[] {
    return [...this.#targets.keys()].filter(targetId => this.epochOf(targetId) !== undefined)
  }

  hasTargetsAwaitingSuccessor (): boolean {
    return this.#awaitingSuccessor.size > 0
  }

  reportFenced (targetId: string, highestEpoch: number): void {
    const target = this.#targets.get(targetId)
    if (target === undefined || highestEpoch <= target.epoch || target.phase.type === 'refused') return
    const wasUsable = target.phase.type === 'owned'
    target.phase = { type: 'refused', highestEpoch }
    if (wasUsable) this.#events.onLost(targetId, 'fenced')
  }

  /** Updates the local state to match the ownership record. */
  synchronise (record: OwnershipRecord, self: IncarnationKey, listed: readonly TargetInfo[]): void {
    this.#listed = new Set(listed.map(info => info.id))
    for (const [targetId, target] of this.#targets) this.#synchroniseTarget(targetId, target, record.targets[targetId], self)
    for (const info of listed) {
      const ownership = record.targets[info.id]
      if (ownership?.owner === self && !this.#targets.has(info.id)) this.#acquire(info, ownership)
    }
    for (const targetId of [...this.#awaitingSuccessor]) this.#notifyIfAdopted(targetId, record.targets[targetId], self)
  }

  /** Returns the record changes that the phases of the targets require, and stops the use of targets to be handed over. */
  pendingChanges (handOvers: ReadonlyMap<string, IncarnationKey | undefined>): readonly OwnershipChange[] {
    const changes: OwnershipChange[] = []
    for (const [targetId, target] of this.#targets) {
      const { epoch, phase } = target
      const handingOver = handOvers.has(targetId)
      if (phase.type === 'refused') changes.push({ type: 'raiseEpoch', targetId, epoch, highestEpoch: phase.highestEpoch })
      else if (phase.type === 'adopted') changes.push({ type: 'confirm', targetId, epoch })
      else if (phase.type === 'owned' && handingOver) this.#stopUse(targetId, target)
      else if (phase.type === 'stopped' && handingOver) changes.push({ type: 'handOver', targetId, receiver: handOvers.get(targetId) })
      else if (phase.type === 'stopped') target.phase = { type: 'owned' }
    }
    return changes
  }

  loseAll (reason: LossReason): void {
    for (const [targetId, target] of [...this.#targets]) this.#lose(targetId, target, reason)
  }

  clear (): void {
    for (const target of this.#targets.values()) target.abort.abort()
    this.#targets.clear()
  }

  #synchroniseTarget (targetId: string, target: OwnedTarget, ownership: TargetOwnership | undefined, self: IncarnationKey): void {
    if (ownership?.owner !== self) {
      const handedOver = target.phase.type === 'stopped'
      if (handedOver && this.#events.holdsTasks?.(targetId) !== false) this.#awaitingSuccessor.add(targetId)
      this.#lose(targetId, target, ownership === undefined ? 'delisted' : handedOver ? 'handed-over' : 'taken')
    } else if (ownership.epoch !== target.epoch) {
      target.abort.abort()
      this.#targets.delete(targetId)
    } else if (ownership.fenced && target.phase.type === 'adopted') {
      target.phase = { type: 'owned' }
    }
  }

  #acquire (info: TargetInfo, ownership: TargetOwnership): void {
    const target: OwnedTarget = { info, epoch: ownership.epoch, abort: new AbortController(), phase: { type: 'acquiring' } }
    this.#targets.set(info.id, target)
    this.#acquisition.run(info, ownership, target.abort.signal).then(result => {
      if (target.phase.type !== 'acquiring') return
      target.phase = result.outcome === 'adopted' ? { type: 'adopted' } : { type: 'refused', highestEpoch: result.highestEpoch }
      this.#wake()
    }, () => {})
  }

  #stopUse (targetId: string, target: OwnedTarget): void {
    target.phase = { type: 'stopping' }
    const stopped = this.#events.onHandingOver?.(target.info) ?? Promise.resolve()
    stopped.then(() => {
      if (target.phase.type === 'stopping') target.phase = { type: 'stopped' }
      this.#wake()
    }, () => {
      if (target.phase.type === 'stopping') target.phase = { type: 'owned' }
    })
  }

  #notifyIfAdopted (targetId: string, ownership: TargetOwnership | undefined, self: IncarnationKey): void {
    if (ownership !== undefined && (ownership.owner === self || ownership.previous.includes(self))) return
    this.#awaitingSuccessor.delete(targetId)
    this.#events.onSuccessorAdopted?.(targetId)
  }

  #lose (targetId: string, target: OwnedTarget, reason: LossReason): void {
    target.abort.abort()
    this.#targets.delete(targetId)
    this.#events.onLost(targetId, reason)
  }
}
