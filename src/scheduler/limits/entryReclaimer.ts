/** Returns the entries of dead incarnations to the pool, once no task can be started against them. */
import { incarnationKey } from '../../model/identity.ts'
import type { IncarnationKey, InstanceRef } from '../../model/identity.ts'
import type { Clock } from '../../ports/clock.ts'
import type { Store, StoreEntry } from '../../ports/store.ts'
import { hasAuthority } from '../ownership/ownershipRecord.ts'
import type { OwnershipRecord } from '../ownership/ownershipRecord.ts'
import { RecordUpdater } from '../recordUpdate.ts'
import { rankNodes } from '../rendezvous.ts'
import { ALLOTMENT_PREFIX, parseAllotment, setHolder, serialiseAllotment } from './allotmentRecord.ts'

/** The part of `OwnershipManager` that allotments depend on. */
export interface AllotmentAuthority {
  readonly self: InstanceRef
  readonly joined: boolean
  readonly record: OwnershipRecord
  readRecord (signal?: AbortSignal): Promise<OwnershipRecord>
}

export class EntryReclaimer {
  readonly #store: Store
  readonly #updater: RecordUpdater
  readonly #dataCentre: string
  readonly #ownership: AllotmentAuthority

  constructor (store: Store, clock: Clock, dataCentre: string, ownership: AllotmentAuthority) {
    this.#store = store
    this.#updater = new RecordUpdater(store, clock)
    this.#dataCentre = dataCentre
    this.#ownership = ownership
  }

  /**
   * Deletes entries of incarnations that are no longer members and whose targets were all fenced by successors.
   * One member of each data centre does this. The allotments are read before the ownership record: an incarnation
   * with an entry had already joined by then, so its absence from the later record means that it was removed permanently.
   */
  async reclaim (signal?: AbortSignal): Promise<number> {
    if (!this.#isResponsible()) return 0
    const { readable: entries, error } = partitionReadable(await this.#store.list(ALLOTMENT_PREFIX, signal))
    const held = new Set(entries.flatMap(entry => this.#localHolders(entry.value)))
    if ([...held].every(key => hasAuthority(this.#ownership.record, key))) return returnOrThrow(0, error)
    const ownership = await this.#ownership.readRecord(signal)
    const dead = new Set([...held].filter(key => !hasAuthority(ownership, key)))
    let reclaimed = 0
    for (const entry of entries) {
      if (!this.#localHolders(entry.value).some(key => dead.has(key))) continue
      await this.#updater.update(entry.key, entry, value => {
        const record = parseAllotment(value)
        const next = this.#localHolders(value).filter(key => dead.has(key)).reduce((left, key) => setHolder(left, key, undefined), record)
        return next === record ? undefined : serialiseAllotment(next)
      }, signal)
      reclaimed++
    }
    return returnOrThrow(reclaimed, error)
  }

  #isResponsible (): boolean {
    const { joined, record, self } = this.#ownership
    return joined && rankNodes('reclaim', record.members)[0] === incarnationKey(self)
  }

  #localHolders (value: string | undefined): readonly IncarnationKey[] {
    return Object.entries(parseAllotment(value).holders)
      .filter(([, entry]) => entry.dataCentre === this.#dataCentre)
      .map(([key]) => key as IncarnationKey)
  }
}

/** Separates unreadable records, so that one team's damaged record does not block the others; its error is thrown after they are processed. */
function partitionReadable (entries: readonly StoreEntry[]): { readonly readable: readonly StoreEntry[], readonly error: unknown } {
  let firstError: unknown
  const readable = entries.filter(({ value }) => {
    try {
      return parseAllotment(value) !== undefined
    } catch (error) {
      firstError ??= error
      return false
    }
  })
  return { readable, error: firstError }
}

function returnOrThrow (reclaimed: number, error: unknown): number {
  if (error !== undefined) throw error
  return reclaimed
}
