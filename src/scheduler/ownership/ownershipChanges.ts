/** Conditional changes of the ownership record: each applies only if the record still matches the state it was based on. */
import type { IncarnationKey } from '../../model/identity.ts'
import { assignTarget, releaseTarget } from './ownershipRecord.ts'
import type { OwnershipRecord, TargetOwnership } from './ownershipRecord.ts'

export type OwnershipChange =
  | { readonly type: 'take', readonly targetId: string, readonly expected: TargetOwnership | undefined }
  | { readonly type: 'confirm', readonly targetId: string, readonly epoch: number }
  | { readonly type: 'raiseEpoch', readonly targetId: string, readonly epoch: number, readonly highestEpoch: number }
  | { readonly type: 'handOver', readonly targetId: string, readonly receiver: IncarnationKey | undefined }
  | { readonly type: 'removeTarget', readonly targetId: string, readonly expected: TargetOwnership }
  | { readonly type: 'removeMember', readonly member: IncarnationKey }

interface Draft {
  members: readonly IncarnationKey[]
  readonly targets: Record<string, TargetOwnership>
  changed: boolean
}

/** Applies the changes whose preconditions still hold; undefined if there are none, or if the instance is no longer a member. */
export function applyChanges (record: OwnershipRecord, self: IncarnationKey, changes: readonly OwnershipChange[]): OwnershipRecord | undefined {
  if (!record.members.includes(self)) return undefined
  const draft: Draft = { members: record.members, targets: { ...record.targets }, changed: false }
  for (const change of changes) applyChange(draft, self, change)
  return draft.changed ? { members: draft.members, targets: draft.targets } : undefined
}

function applyChange (draft: Draft, self: IncarnationKey, change: OwnershipChange): void {
  if (change.type === 'removeMember') return removeMember(draft, change.member)
  const current = draft.targets[change.targetId]
  if (change.type === 'take') {
    if (current?.owner !== change.expected?.owner || current?.epoch !== change.expected?.epoch) return
    setTarget(draft, change.targetId, assignTarget(current, self))
    // Removal from the members forces an owner that was only paused to read the record before it can acquire another target.
    if (current?.owner !== undefined) removeMember(draft, current.owner)
  } else if (change.type === 'removeTarget') {
    if (current === undefined || current.owner !== change.expected.owner || current.epoch !== change.expected.epoch) return
    delete draft.targets[change.targetId]
    draft.changed = true
  } else if (current?.owner === self) {
    changeOwnTarget(draft, self, current, change)
  }
}

function changeOwnTarget (draft: Draft, self: IncarnationKey, current: TargetOwnership,
  change: Extract<OwnershipChange, { type: 'confirm' | 'raiseEpoch' | 'handOver' }>): void {
  if (change.type === 'handOver') {
    if (change.receiver === undefined) return setTarget(draft, change.targetId, releaseTarget(current))
    if (draft.members.includes(change.receiver)) setTarget(draft, change.targetId, assignTarget(current, change.receiver))
  } else if (current.epoch === change.epoch) {
    if (change.type === 'raiseEpoch') {
      setTarget(draft, change.targetId, { ...assignTarget(current, self), epoch: change.highestEpoch + 1 })
    } else if (!current.fenced) {
      setTarget(draft, change.targetId, { ...current, fenced: true, previous: [] })
    }
  }
}

function setTarget (draft: Draft, targetId: string, target: TargetOwnership): void {
  draft.targets[targetId] = target
  draft.changed = true
}

function removeMember (draft: Draft, member: IncarnationKey): void {
  if (!draft.members.includes(member)) return
  draft.members = draft.members.filter(other => other !== member)
  draft.changed = true
}
