/**
 * Change log records in the store.
 *
 * `configuration/floor` holds the lowest version whose change has not been deleted. It is raised before changes are
 * deleted. A reader that reads the floor after a change key can therefore tell whether a missing key was never
 * written, and whether an existing key was written late, by a process that was paused while the key was deleted.
 */
import type { Change, ConfigurationSnapshot } from '../model/change.ts'
import { InputError } from '../model/errors.ts'
import type { Store, StoreEntry, WriteResult } from '../ports/store.ts'
import { parseRecord } from '../ports/storeRecord.ts'
import { changeSchema, floorSchema, snapshotSchema } from './recordSchemas.ts'

const CHANGE_PREFIX = 'configuration/change/'
const SNAPSHOT_KEY = 'configuration/snapshot'
const FLOOR_KEY = 'configuration/floor'

export const SNAPSHOT_INTERVAL = 256

/** Changes retained below the snapshot's version, so that a reader only slightly behind does not need the snapshot. */
const RETAINED_BELOW_SNAPSHOT = 256

function parseChange (entry: StoreEntry | undefined): Change | undefined {
  if (entry === undefined) return undefined
  const change = parseRecord(changeSchema, `record ${entry.key}`, entry.value)
  if (entry.key !== `${CHANGE_PREFIX}${change.version}`) throw new InputError(`the record ${entry.key} holds version ${change.version}`)
  return change
}

function parseSnapshot ({ key, value }: StoreEntry): ConfigurationSnapshot {
  return parseRecord(snapshotSchema, `record ${key}`, value)
}

function parseFloor (entry: StoreEntry | undefined): number {
  return entry === undefined ? 1 : parseRecord(floorSchema, `record ${entry.key}`, entry.value)
}

export type AppendResult =
  | { readonly outcome: 'written' }
  | { readonly outcome: 'taken', readonly change?: Change }

export interface LogTail {
  readonly changes: readonly Change[]
  /** Monotonic time at which the read that found no further change started; undefined if the limit was reached first. */
  readonly endReadStartedAt?: number
}

/** Reads and writes the change log records. Every method may reject with the store's errors. */
export class ChangeRecords {
  readonly #store: Store
  readonly #monotonicMs: () => number

  constructor (store: Store, monotonicMs: () => number) {
    this.#store = store
    this.#monotonicMs = monotonicMs
  }

  async readSnapshot (signal?: AbortSignal): Promise<ConfigurationSnapshot | undefined> {
    const entry = await this.#store.get(SNAPSHOT_KEY, signal)
    return entry === undefined ? undefined : parseSnapshot(entry)
  }

  async readFloor (signal?: AbortSignal): Promise<number> {
    return parseFloor(await this.#store.get(FLOOR_KEY, signal))
  }

  /** Reads the changes after a version; undefined if some may have been deleted and the snapshot is needed instead. */
  async readTail (after: number, limit: number, signal?: AbortSignal): Promise<LogTail | undefined> {
    const changes: Change[] = []
    let endReadStartedAt: number | undefined
    while (changes.length < limit && endReadStartedAt === undefined) {
      const startedAt = this.#monotonicMs()
      const change = parseChange(await this.#store.get(`${CHANGE_PREFIX}${after + changes.length + 1}`, signal))
      if (change === undefined) endReadStartedAt = startedAt
      else changes.push(change)
    }
    if (await this.readFloor(signal) > after + 1) return
    return { changes, endReadStartedAt }
  }

  async append (change: Change, signal?: AbortSignal): Promise<AppendResult> {
    const key = `${CHANGE_PREFIX}${change.version}`
    const result = await this.#store.put(key, JSON.stringify(change), { expectedVersion: 0 }, signal)
    return result.outcome === 'written' ? result : { outcome: 'taken', change: parseChange(result.current) }
  }

  /**
   * Writes the snapshot if the stored one is at least a snapshot interval older, raises the floor and deletes the
   * changes below it. Returns the version of the stored snapshot.
   */
  async compact (snapshot: ConfigurationSnapshot, signal?: AbortSignal): Promise<number> {
    const entry = await this.#store.get(SNAPSHOT_KEY, signal)
    const stored = entry === undefined ? 0 : parseSnapshot(entry).version
    if (snapshot.version - stored < SNAPSHOT_INTERVAL) return stored
    const result = await this.#store.put(SNAPSHOT_KEY, JSON.stringify(snapshot), { expectedVersion: entry?.version ?? 0 }, signal)
    if (result.outcome === 'conflict') return stored
    await this.#deleteBelow(snapshot.version - RETAINED_BELOW_SNAPSHOT, signal)
    return snapshot.version
  }

  async #deleteBelow (floor: number, signal?: AbortSignal): Promise<void> {
    const entry = await this.#store.get(FLOOR_KEY, signal)
    if (floor <= parseFloor(entry)) return
    const raised: WriteResult = await this.#store.put(FLOOR_KEY, String(floor), { expectedVersion: entry?.version ?? 0 }, signal)
    if (raised.outcome === 'conflict') return
    for (const { key, version } of await this.#store.list(CHANGE_PREFIX, signal)) {
      if (Number(key.slice(CHANGE_PREFIX.length)) < floor) await this.#store.delete(key, version, signal)
    }
  }
}
