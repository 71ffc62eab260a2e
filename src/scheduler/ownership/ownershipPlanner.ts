/** Decides which changes of the ownership record are due, from the record, the target list and the membership. */
import { incarnationKey, parseIncarnationKey } from '../../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../../model/identity.ts'
import type { TargetInfo } from '../../model/target.ts'
import type { Clock } from '../../ports/clock.ts'
import { planAssignment } from './planAssignment.ts'
import { HAND_OVER_DELAY_MS, IDLE_MEMBER_GRACE_MS, LONGEST_TASK_LEASE_MS } from './ownershipTiming.ts'
import type { OwnershipChange } from './ownershipChanges.ts'
import type { OwnershipRecord, TargetOwnership } from './ownershipRecord.ts'
import { chooseTakeoverRule } from './takeoverRules.ts'
import type { OwnerView } from './takeoverRules.ts'

/** Liveness of the other instances of the data centre as this instance sees it. */
export interface MembershipView {
  /** Serving instances, which can own targets; draining ones are excluded. */
  liveMembers (): readonly InstanceRef[]
  isSuspected (ref: InstanceRef): boolean
  /** Whether the instance list no longer contains the instance, or contains another incarnation of the same name. */
  isGoneFromList (ref: InstanceRef): boolean
}

/** `hand-over`: targets are handed over to other members; `release`: targets that no other member can take are released as well. */
export type DrainPhase = 'hand-over' | 'release'

export interface PlannedChanges {
  readonly changes: readonly OwnershipChange[]
  readonly handOvers: ReadonlyMap<string, IncarnationKey | undefined>
}

export class OwnershipPlanner {
  readonly #clock: Clock
  readonly #membership: MembershipView
  /** Start time of the current uninterrupted period during which each condition has held. */
  #trueSince = new Map<string, number>()
  #evaluated = new Set<string>()
  #lastAssignment: { readonly inputs: string, readonly assignment: ReadonlyMap<string, IncarnationKey> } | undefined

  constructor (clock: Clock, membership: MembershipView) {
    this.#clock = clock
    this.#membership = membership
  }

  plan (record: OwnershipRecord, self: IncarnationKey, listed: readonly TargetInfo[], drain?: DrainPhase): PlannedChanges {
    const live = this.#liveMembers(record, self, drain !== undefined)
    const assignment = this.#assign(listed.map(target => target.id), live)
    const changes: OwnershipChange[] = [
      ...this.#planTakeovers(record, self, listed, assignment),
      ...this.#planTargetRemovals(record, self, new Set(listed.map(target => target.id))),
      ...this.#planMemberRemovals(record, self, live, listed)
    ]
    const handOvers = this.#planHandOvers(record, self, assignment, drain)
    this.#pruneEndedConditions()
    return { changes, handOvers }
  }

  /** Whether another live member can take the targets of a draining instance. */
  hasReceiver (record: OwnershipRecord, self: IncarnationKey): boolean {
    return this.#liveMembers(record, self, true).length > 0
  }

  /** Recomputes the assignment only if the targets or the live members changed. */
  #assign (targets: readonly string[], live: readonly IncarnationKey[]): ReadonlyMap<string, IncarnationKey> {
    const inputs = JSON.stringify([targets, live])
    if (this.#lastAssignment?.inputs !== inputs) this.#lastAssignment = { inputs, assignment: planAssignment(targets, live) }
    return this.#lastAssignment.assignment
  }

  #liveMembers (record: OwnershipRecord, self: IncarnationKey, draining: boolean): readonly IncarnationKey[] {
    const live = new Set(this.#membership.liveMembers().filter(ref => !this.#membership.isSuspected(ref)).map(incarnationKey))
    if (draining) live.delete(self)
    else live.add(self)
    return record.members.filter(member => live.has(member))
  }

  #planTakeovers (record: OwnershipRecord, self: IncarnationKey, listed: readonly TargetInfo[],
    assignment: ReadonlyMap<string, IncarnationKey>): readonly OwnershipChange[] {
    const takeovers: OwnershipChange[] = []
    for (const info of listed) {
      const current = record.targets[info.id]
      const mayTakeOver = current === undefined ||
        (current.owner !== self && chooseTakeoverRule(info.features).mayTakeOver(this.#describeOwner(record, info.id, current)))
      if (mayTakeOver && assignment.get(info.id) === self) takeovers.push({ type: 'take', targetId: info.id, expected: current })
    }
    return takeovers
  }

  #describeOwner (record: OwnershipRecord, targetId: string, current: TargetOwnership): OwnerView {
    const owner = current.owner
    const ref = owner === undefined ? undefined : parseIncarnationKey(owner)
    return {
      member: owner !== undefined && record.members.includes(owner),
      suspected: ref !== undefined && this.#membership.isSuspected(ref),
      goneFromListForMs: this.#trueForMs(`gone ${owner}`, ref !== undefined && this.#membership.isGoneFromList(ref)),
      releasedForMs: this.#trueForMs(`released ${targetId} ${current.epoch}`, owner === undefined)
    }
  }

  #planTargetRemovals (record: OwnershipRecord, self: IncarnationKey, listed: ReadonlySet<string>): readonly OwnershipChange[] {
    return Object.entries(record.targets).flatMap(([targetId, current]): readonly OwnershipChange[] => {
      const unlisted = !listed.has(targetId) && (current.owner === self || this.#hasOwnerEnded(record, current.owner))
      const unlistedForMs = this.#trueForMs(`unlisted ${targetId} ${current.epoch} ${current.owner}`, unlisted) ?? 0
      return unlistedForMs >= LONGEST_TASK_LEASE_MS ? [{ type: 'removeTarget', targetId, expected: current }] : []
    })
  }

  /** Removal from the members is not enough: the owner may not know of it yet and may still renew task leases. */
  #hasOwnerEnded (record: OwnershipRecord, owner: IncarnationKey | undefined): boolean {
    return owner === undefined ||
      (!record.members.includes(owner) && this.#membership.isGoneFromList(parseIncarnationKey(owner)))
  }

  #planMemberRemovals (record: OwnershipRecord, self: IncarnationKey, live: readonly IncarnationKey[],
    listed: readonly TargetInfo[]): readonly OwnershipChange[] {
    const owners = new Set(listed.map(info => record.targets[info.id]?.owner))
    const due = record.members.filter(member => {
      const ref = parseIncarnationKey(member)
      const dead = member !== self && (this.#membership.isSuspected(ref) || this.#membership.isGoneFromList(ref))
      return (this.#trueForMs(`dead ${member}`, dead && !owners.has(member)) ?? 0) >= IDLE_MEMBER_GRACE_MS
    })
    const first = [...live].sort()[0]
    return first === self ? due.map(member => ({ type: 'removeMember', member })) : []
  }

  #planHandOvers (record: OwnershipRecord, self: IncarnationKey, assignment: ReadonlyMap<string, IncarnationKey>,
    drain: DrainPhase | undefined): ReadonlyMap<string, IncarnationKey | undefined> {
    const handOvers = new Map<string, IncarnationKey | undefined>()
    for (const [targetId, target] of Object.entries(record.targets)) {
      if (target.owner !== self) continue
      const receiver = assignment.get(targetId)
      const assignedElsewhere = receiver !== undefined && receiver !== self
      const assignedElsewhereForMs = this.#trueForMs(`misplaced ${targetId} ${receiver}`, assignedElsewhere)
      const due = drain === 'release' || (drain === 'hand-over' && receiver !== undefined)
      if (due || (assignedElsewhereForMs !== undefined && assignedElsewhereForMs >= HAND_OVER_DELAY_MS)) handOvers.set(targetId, receiver)
    }
    return handOvers
  }

  #trueForMs (condition: string, holds: boolean): number | undefined {
    if (!holds) {
      this.#trueSince.delete(condition)
      return undefined
    }
    const now = this.#clock.monotonicMs()
    this.#evaluated.add(condition)
    if (!this.#trueSince.has(condition)) this.#trueSince.set(condition, now)
    return now - (this.#trueSince.get(condition) ?? now)
  }

  #pruneEndedConditions (): void {
    this.#trueSince = new Map([...this.#trueSince].filter(([condition]) => this.#evaluated.has(condition)))
    this.#evaluated = new Set()
  }
}
