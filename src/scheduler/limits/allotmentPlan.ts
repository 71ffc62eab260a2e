/** How much an incarnation should hold of a limit; pure. */
import type { IncarnationKey } from '../../model/identity.ts'
import { addResources, fits, NO_RESOURCES, subtractResources } from '../../model/resources.ts'
import type { Resources } from '../../model/resources.ts'
import { buildResources, freePool, putHolder } from './allotmentRecord.ts'
import type { AllotmentRecord } from './allotmentRecord.ts'

/** Unit in which limits are held, so that small changes of usage cause no writes. */
export const CHUNK: Resources = { slots: 1, processors: 1_000, memory: 1_024, accelerators: 1 }

/** Held above usage and queued demand. */
const HEADROOM = 0.25

/** An entry is lowered only when it exceeds the wanted amount by this fraction and a chunk, to save writes. */
const RETURN_MARGIN = 0.25

export interface LocalAllotment {
  /** Charged by tasks that run on the incarnation's targets, whether started or adopted. */
  readonly used: Resources
  /** Spendable in sum; may be below `used` after adoptions. */
  readonly held: Resources
  readonly wanted: Resources
  /** Returns all spare at once. */
  readonly returning: boolean
}

export interface Adjustment {
  readonly entry: Resources
  /** Spendable once the entry is in the record. */
  readonly held: Resources
}

/** Usage and queued demand plus headroom, in whole chunks; `active` names the dimensions used of late. */
export function wantedAmount (demand: Resources, active: Resources): Resources {
  return buildResources(dimension => {
    if (demand[dimension] === 0 && active[dimension] === 0) return 0
    const chunk = CHUNK[dimension]
    return Math.ceil(Math.max(demand[dimension] * (1 + HEADROOM), demand[dimension] + chunk) / chunk) * chunk
  })
}

/**
 * Computes the own entry from the present record.
 *
 * The entry always covers what is spendable and what runs. Adopted tasks may push the sum of entries above the limit
 * while the previous owner's entry stands; as long as it is above, nothing more becomes spendable anywhere.
 *
 * @example
 * planAdjustment(record, 'howrah-1/4f', { used, held, wanted, returning: false }).entry
 */
export function planAdjustment (record: AllotmentRecord, self: IncarnationKey, local: LocalAllotment): Adjustment {
  const own = record.holders[self]?.amount ?? NO_RESOURCES
  const pool = freePool(record)
  const reachable = buildResources(dimension => own[dimension] + pool[dimension])
  const entry = buildResources(dimension => record.limit[dimension] === undefined
    ? 0
    : planDimension(own[dimension], pool[dimension], local.used[dimension], chooseWanted(own, local, dimension)))
  const held = buildResources(dimension => pool[dimension] < 0
    ? Math.min(local.held[dimension], entry[dimension])
    : Math.min(entry[dimension], reachable[dimension]))
  return { entry, held }
}

function planDimension (own: number, pool: number, used: number, wanted: number): number {
  const bound = pool < 0 ? Math.min(own, own + pool) : own + pool
  return Math.max(used, Math.min(wanted, bound))
}

function chooseWanted (own: Resources, local: LocalAllotment, dimension: keyof Resources): number {
  const wanted = local.wanted[dimension]
  const keep = wanted > 0 && !local.returning && own[dimension] > wanted &&
    own[dimension] <= wanted * (1 + RETURN_MARGIN) + CHUNK[dimension]
  return keep ? own[dimension] : wanted
}

export interface Transfer {
  readonly receiver: IncarnationKey
  readonly receiverDataCentre: string
  readonly given: Resources
  /** The giver's number of this move. */
  readonly sequence: number
}

/** Lowers the giver's entry and raises the receiver's; undefined if the giver no longer has it, or above the limit. */
export function planTransfer (record: AllotmentRecord, giver: IncarnationKey, transfer: Transfer): AllotmentRecord | undefined {
  const own = record.holders[giver]
  const pool = freePool(record)
  const { receiver, given, sequence } = transfer
  if (own === undefined || giver === receiver || !fits(given, own.amount) || Object.values(pool).some(free => free < 0)) return undefined
  const old = record.holders[receiver]
  const lowered = putHolder(record, giver, { ...own, amount: subtractResources(own.amount, given), sequence })
  return putHolder(lowered, receiver, {
    dataCentre: old?.dataCentre ?? transfer.receiverDataCentre,
    amount: addResources(old?.amount ?? NO_RESOURCES, given),
    sequence: old?.sequence ?? 0
  })
}
