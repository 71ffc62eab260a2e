/** The record of who owns the targets of one data centre, and pure changes of it. */
import { z } from 'zod'
import type { IncarnationKey } from '../../model/identity.ts'
import { parseRecord } from '../../ports/storeRecord.ts'

export { planAssignment } from './planAssignment.ts'

export interface TargetOwnership {
  /** Absent after a release. */
  readonly owner?: IncarnationKey
  /** Fencing token; rises at each change of owner. */
  readonly epoch: number
  /** The owner has fenced the target and adopted its tasks. */
  readonly fenced: boolean
  /** Earlier owners whose tasks may run on the target and are not yet adopted; empty once fenced. */
  readonly previous: readonly IncarnationKey[]
}

export interface OwnershipRecord {
  readonly members: readonly IncarnationKey[]
  readonly targets: Readonly<Record<string, TargetOwnership>>
}

export const EMPTY_OWNERSHIP: OwnershipRecord = { members: [], targets: {} }

const keySchema = z.string().regex(/.\/./s, 'names no incarnation')

/** An epoch must be exact, since the next one must differ from it. */
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

/** Joins; targets that an earlier incarnation of the same process has given up are released. */
export function addMember (record: OwnershipRecord, member: IncarnationKey, givenUp: IncarnationKey | undefined): OwnershipRecord {
  const targets = Object.fromEntries(Object.entries(record.targets).map(([id, target]) =>
    [id, target.owner !== undefined && target.owner === givenUp ? releaseTarget(target) : target]))
  const members = record.members.includes(member) ? record.members : [...record.members, member]
  return { members, targets }
}

export function removeMembers (record: OwnershipRecord, removed: ReadonlySet<IncarnationKey>): OwnershipRecord {
  return { ...record, members: record.members.filter(member => !removed.has(member)) }
}

export function releaseTarget (target: TargetOwnership): TargetOwnership {
  return { epoch: target.epoch, fenced: false, previous: collectPrevious(target) }
}

/** Names a new owner under the next epoch. */
export function assignTarget (target: TargetOwnership | undefined, owner: IncarnationKey): TargetOwnership {
  if (target === undefined) return { owner, epoch: 1, fenced: false, previous: [] }
  return { owner, epoch: target.epoch + 1, fenced: false, previous: collectPrevious(target) }
}

/** Whether an incarnation may still start tasks on some target, or tasks of its own wait for adoption there. */
export function hasAuthority (record: OwnershipRecord, key: IncarnationKey): boolean {
  return record.members.includes(key) || holdsTargets(record, key)
}

export function holdsTargets (record: OwnershipRecord, key: IncarnationKey): boolean {
  return Object.values(record.targets).some(target => target.owner === key || target.previous.includes(key))
}

function collectPrevious (target: TargetOwnership): readonly IncarnationKey[] {
  return target.owner === undefined ? target.previous : [...new Set([...target.previous, target.owner])]
}
