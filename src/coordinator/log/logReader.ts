/** Rebuilds the job table from the snapshot and the log in the store. */
import { z } from 'zod'
import type { JobRecord, LogRecord } from '../../jobs/jobRecords.ts'
import { JobTable } from '../../jobs/jobTable.ts'
import { BaseError } from '../../model/errors.ts'
import { listAll } from '../../ports/transactionalStore.ts'
import type { TransactionalStore } from '../../ports/transactionalStore.ts'
import { LOG_PREFIX, segmentNumber } from './recordLog.ts'

export const SNAPSHOT_HEAD_KEY = 'agategauge/snapshot-head'
export const SNAPSHOT_PREFIX = 'agategauge/snapshot/'

export const snapshotHeadSchema = z.object({
  /** Sequence number of the last segment contained in the snapshot. */
  sequence: z.number(),
  parts: z.number(),
  /** Unique for each compaction; absent in heads of earlier versions. */
  id: z.string().optional()
})

export type SnapshotHead = Readonly<z.infer<typeof snapshotHeadSchema>>

/** Parts of the snapshot in effect are missing, so that the jobs that it contains are unknown. */
export const SnapshotIncompleteError = BaseError.subclass('SnapshotIncompleteError')

export interface ReadLog {
  readonly table: JobTable
  readonly nextSequence: number
  /** Number of segments after the snapshot. */
  readonly segments: number
  /** Length of the snapshot and of the segments after it. */
  readonly bytes: number
  readonly segmentBytes: number
}

/**
 * Returns the prefix of the keys of a snapshot.
 *
 * @example
 * snapshotPrefix({ sequence: 7, parts: 1, id: 'a1' }) // 'agategauge/snapshot/7/a1/'
 */
export function snapshotPrefix ({ sequence, id }: SnapshotHead): string {
  return id === undefined ? `${SNAPSHOT_PREFIX}${sequence}/` : `${SNAPSHOT_PREFIX}${sequence}/${id}/`
}

/**
 * Returns the key of one part of a snapshot.
 *
 * @example
 * snapshotPartKey({ sequence: 7, parts: 1, id: 'a1' }, 0) // 'agategauge/snapshot/7/a1/0000'
 */
export function snapshotPartKey (head: SnapshotHead, part: number): string {
  return `${snapshotPrefix(head)}${String(part).padStart(4, '0')}`
}

/**
 * Reads the records stored by earlier coordinators. Their commits fail once the reader is elected, so the log does not
 * change while it is read. Rejects with `SnapshotIncompleteError` rather than returning a table without accepted jobs.
 *
 * @example
 * const { table, nextSequence } = await readLog(store, record => clock.monotonicMs())
 */
export async function readLog (store: Pick<TransactionalStore, 'get' | 'listPage'>, acceptedAtMs: (record: JobRecord) => number): Promise<ReadLog> {
  const table = new JobTable(acceptedAtMs)
  const { item: headItem } = await store.get(SNAPSHOT_HEAD_KEY)
  const head = headItem === undefined ? undefined : snapshotHeadSchema.parse(JSON.parse(headItem.value))
  let bytes = 0
  if (head !== undefined) {
    for (const value of await readParts(store, head)) {
      bytes += value.length
      applyAll(table, value)
    }
  }
  const segments = (await listAll(store, LOG_PREFIX)).filter(item => segmentNumber(item.key) > (head?.sequence ?? 0))
  const snapshotBytes = bytes
  for (const segment of segments) {
    bytes += segment.value.length
    applyAll(table, segment.value)
  }
  const last = segments.at(-1)
  const nextSequence = (last === undefined ? head?.sequence ?? 0 : segmentNumber(last.key)) + 1
  return { table, nextSequence, segments: segments.length, bytes, segmentBytes: bytes - snapshotBytes }
}

async function readParts (store: Pick<TransactionalStore, 'listPage'>, head: SnapshotHead): Promise<readonly string[]> {
  const stored = new Map((await listAll(store, snapshotPrefix(head))).map(({ key, value }) => [key, value]))
  const parts = Array.from({ length: head.parts }, (_, part) => stored.get(snapshotPartKey(head, part)))
  const found = parts.filter(value => value !== undefined)
  if (found.length < head.parts) throw new SnapshotIncompleteError(`the snapshot ${snapshotPrefix(head)} has ${found.length} of ${head.parts} parts`)
  return found
}

function applyAll (table: JobTable, text: string): void {
  for (const record of JSON.parse(text) as LogRecord[]) table.apply(record)
}
