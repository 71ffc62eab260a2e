/** The ownership record of one data centre, stored under one key, and pure functions that change it. */
import { z } from 'zod'
import type { IncarnationKey } from '../../model/identity.ts'
import { parseRecord } from '../../ports/storeRecord.ts'

export { planAssignment } from './planAssignment.ts'

export interface TargetOwnership {
  /** Absent after a release. */
  readonly owner?: IncarnationKey
  /** Fencing token; increases with each change of owner. */
  readonly epoch: number
  /** The owner has fenced the target and adopted its tasks. */
  readonly fenced: boolean
  /** Earlier owners whose tasks may still run on the target and have not been adopted; empty once the target is fenced. */
  readonly previous: readonly IncarnationKey[]
}

export interface OwnershipRecord {
  readonly members: readonly IncarnationKey[]
  readonly targets: Readonly<Record<string, TargetOwnership>>
}

export const EMPTY_OWNERSHIP: OwnershipRecord = { members: [], targets: {} }

const keySchema = z.string().regex(/.\/./s, 'must be an incarnation key: NAME/INCARNATION')

/** Epochs must be safe integers: beyond that range, incrementing an epoch may not change it. */
const ownershipSchema = z.looseObject({
  members: z.array(keySchema),
  targets: z.record(z.string(), z.looseObject({
    owner: keySchema.optional(),
    epoch: z.int().min(0),
    fenced: z.boolean(),
    previous: z.array(keySchema)
  }))
}) as unknown as z.ZodType<OwnershipRecord>

export function ownershipKey (dataCentre: string): string {
  return `ownership/${dataCentre}`
}

export function parseOwnership (value: string | undefined): OwnershipRecord {
  if (value === undefined) return EMPTY_OWNERSHIP
  return parseRecord(ownershipSchema, 'ownership record', value)
}

export function serialiseOwnership (record: OwnershipRecord): string {
  return JSON.stringify(record)
}

/** Adds a member and releases the targets of an earlier incarnation of the same process. */
export function addMember (record: OwnershipRecord, member: IncarnationKey, formerIncarnation: IncarnationKey | undefined): OwnershipRecord {
  const targets = Object.fromEntries(Object.entries(record.targets).map(([id, target]) =>
    [id, target.owner !== undefined && target.owner === formerIncarnation ? releaseTarget(target) : target]))
  const members = record.members.includes(member) ? record.members : [...record.members, member]
  return { members, targets }
}

export function removeMembers (record: OwnershipRecord, removed: ReadonlySet<IncarnationKey>): OwnershipRecord {
  return { ...record, members: record.members.filter(member => !removed.has(member)) }
}

export function releaseTarget (target: TargetOwnership): TargetOwnership {
  return { epoch: target.epoch, fenced: false, previous: collectPrevious(target) }
}

/** Assigns a new owner and increments the epoch. */
export function assignTarget (target: TargetOwnership | undefined, owner: IncarnationKey): TargetOwnership {
  if (target === undefined) return { owner, epoch: 1, fenced: false, previous: [] }
  return { owner, epoch: target.epoch + 1, fenced: false, previous: collectPrevious(target) }
}

/** Whether an incarnation may still start tasks on a target, or has tasks on one that have not been adopted. */
export function hasAuthority (record: OwnershipRecord, key: IncarnationKey): boolean {
  return record.members.includes(key) || holdsTargets(record, key)
}

export function holdsTargets (record: OwnershipRecord, key: IncarnationKey): boolean {
  return Object.values(record.targets).some(target => target.owner === key || target.previous.includes(key))
}

function collectPrevious (target: TargetOwnership): readonly IncarnationKey[] {
  return target.owner === undefined ? target.previous : [...new Set([...target.previous, target.owner])]
}
