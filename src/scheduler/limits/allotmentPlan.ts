/** Pure functions that compute how much of a limit an incarnation should hold. */
import type { IncarnationKey } from '../../model/identity.ts'
import { addResources, fits, NO_RESOURCES, subtractResources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import { buildResources, freePool, setHolder } from './allotmentRecord.ts'
import type { AllotmentRecord } from './allotmentRecord.ts'

/** Limits are held in multiples of this unit, so that small changes of usage cause no writes. */
export const CHUNK: Resources = { slots: 1, processors: 1_000, memory: 1_024, accelerators: 1 }

/** Amount to hold above usage and queued demand, as a fraction of their sum. */
const HEADROOM = 0.25

/** To save writes, an entry is lowered only if it exceeds the wanted amount by more than this fraction plus one chunk. */
const RETURN_MARGIN = 0.25

export interface LocalAllotment {
  /** Charges of the tasks that run on the incarnation's targets, whether started or adopted. */
  readonly used: Resources
  /** Total amount that tasks may use; may be below `used` after adoptions. */
  readonly held: Resources
  readonly wanted: Resources
  /** Whether all spare amounts are to be returned immediately. */
  readonly returning: boolean
}

export interface Adjustment {
  readonly entry: Resources
  /** Amount that tasks may use once the entry is in the record. */
  readonly held: Resources
}

/** Usage and queued demand plus headroom, in whole chunks; `active` is nonzero in recently used dimensions. */
export function computeWanted (demand: Resources, active: Resources): Resources {
  return buildResources(dimension => {
    if (demand[dimension] === 0 && active[dimension] === 0) return 0
    const chunk = CHUNK[dimension]
    return Math.ceil(Math.max(demand[dimension] * (1 + HEADROOM), demand[dimension] + chunk) / chunk) * chunk
  })
}

/**
 * Computes the incarnation's entry from the current record.
 *
 * The entry always covers the held amount and the running tasks. Adopted tasks may raise the sum of entries above the
 * limit while the previous owner's entry exists; while it is above the limit, no incarnation's held amount increases.
 *
 * @example
 * planAdjustment(record, 'howrah-1/4f', { used, held, wanted, returning: false }).entry
 */
export function planAdjustment (record: AllotmentRecord, self: IncarnationKey, local: LocalAllotment): Adjustment {
  const own = record.holders[self]?.amount ?? NO_RESOURCES
  const pool = freePool(record)
  const available = buildResources(dimension => own[dimension] + pool[dimension])
  const entry = buildResources(dimension => record.limit[dimension] === undefined
    ? 0
    : planDimension(own[dimension], pool[dimension], local.used[dimension], applyReturnMargin(own, local, dimension)))
  const held = buildResources(dimension => pool[dimension] < 0
    ? Math.min(local.held[dimension], entry[dimension])
    : Math.min(entry[dimension], available[dimension]))
  return { entry, held }
}

function planDimension (own: number, pool: number, used: number, wanted: number): number {
  const bound = pool < 0 ? Math.min(own, own + pool) : own + pool
  return Math.max(used, Math.min(wanted, bound))
}

function applyReturnMargin (own: Resources, local: LocalAllotment, dimension: keyof Resources): number {
  const wanted = local.wanted[dimension]
  const keep = wanted > 0 && !local.returning && own[dimension] > wanted &&
    own[dimension] <= wanted * (1 + RETURN_MARGIN) + CHUNK[dimension]
  return keep ? own[dimension] : wanted
}

export interface Transfer {
  readonly receiver: IncarnationKey
  readonly receiverDataCentre: string
  readonly amount: Resources
  /** Sequence number of this change in the donor's entry. */
  readonly sequence: number
}

/** Lowers the donor's entry and raises the receiver's; undefined if the donor no longer holds the amount, or if the sum exceeds the limit. */
export function planTransfer (record: AllotmentRecord, donor: IncarnationKey, transfer: Transfer): AllotmentRecord | undefined {
  const own = record.holders[donor]
  const pool = freePool(record)
  const { receiver, amount, sequence } = transfer
  if (own === undefined || donor === receiver || !fits(amount, own.amount) || Object.values(pool).some(free => free < 0)) return undefined
  const receiverEntry = record.holders[receiver]
  const withoutAmount = setHolder(record, donor, { ...own, amount: subtractResources(own.amount, amount), sequence })
  return setHolder(withoutAmount, receiver, {
    dataCentre: receiverEntry?.dataCentre ?? transfer.receiverDataCentre,
    amount: addResources(receiverEntry?.amount ?? NO_RESOURCES, amount),
    sequence: receiverEntry?.sequence ?? 0
  })
}
