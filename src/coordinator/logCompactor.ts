/** Compacts the log into a snapshot, which bounds its size and the recovery time of a successor. */
import type { JobTable } from '../jobs/jobTable.ts'
import type { LogRecord } from '../jobs/jobRecords.ts'
import { StoreUnknownError } from '../model/errors.ts'
import { MAX_TRANSACTION_OPERATIONS, listAll } from '../ports/transactionalStore.ts'
import type { Transaction, TransactionalStore } from '../ports/transactionalStore.ts'
import type { Logger } from '../observability/logger.ts'
import { SNAPSHOT_HEAD_KEY, SNAPSHOT_PREFIX, snapshotPartKey } from './logReader.ts'
import { LOG_PREFIX, segmentNumber, TermLostError } from './recordLog.ts'

/** Size of one value, well below the store's limit of 1 MB. */
const MAX_PART_BYTES = 300_000

export interface CompactionOptions {
  readonly store: TransactionalStore
  readonly logger: Logger
  readonly election: { readonly key: string, readonly revision: number }
  readonly table: JobTable
  /** Sequence number of the last stored segment; the table contains all its records. */
  readonly lastSequence: number
}

/**
 * Writes a snapshot and removes the segments and snapshots it replaces. The snapshot may already contain later records;
 * replaying them has no effect. An interrupted compaction leaves the previous snapshot in effect.
 *
 * @example
 * await compactLog({ store, logger, election, table, lastSequence: log.nextSequence - 1 })
 */
export async function compactLog ({ store, logger, election, table, lastSequence }: CompactionOptions): Promise<void> {
  const parts = splitRecords(table.toRecords())
  const commit = async (write: string, transaction: Omit<Transaction, 'conditions'>): Promise<void> => {
    try {
      const result = await store.commit({ conditions: [election], ...transaction })
      if (result.outcome !== 'committed') throw new TermLostError('the election key has changed')
    } catch (error) {
      logger.warn({ write, sequence: lastSequence, parts: parts.length, certain: !(error instanceof StoreUnknownError), error: String(error) }, 'write of a log compaction failed')
      throw error
    }
  }
  for (const [part, value] of parts.entries()) await commit(`part ${part}`, { writes: [{ key: snapshotPartKey(lastSequence, part), value }], removes: [] })
  await commit('head', { writes: [{ key: SNAPSHOT_HEAD_KEY, value: JSON.stringify({ sequence: lastSequence, parts: parts.length }) }], removes: [] })
  const outdated = [
    ...(await listAll(store, LOG_PREFIX)).filter(item => segmentNumber(item.key) <= lastSequence),
    ...(await listAll(store, SNAPSHOT_PREFIX)).filter(item => !item.key.startsWith(`${SNAPSHOT_PREFIX}${lastSequence}/`))
  ].map(item => item.key)
  const perCommit = MAX_TRANSACTION_OPERATIONS - 1
  for (let offset = 0; offset < outdated.length; offset += perCommit) await commit('removal', { writes: [], removes: outdated.slice(offset, offset + perCommit) })
  logger.info({ sequence: lastSequence, parts: parts.length, removed: outdated.length }, 'log compacted')
}

function splitRecords (records: readonly LogRecord[]): readonly string[] {
  const parts: string[] = []
  let texts: string[] = []
  let bytes = 0
  for (const record of records) {
    const text = JSON.stringify(record)
    if (bytes > 0 && bytes + text.length > MAX_PART_BYTES) {
      parts.push(`[${texts.join(',')}]`)
      texts = []
      bytes = 0
    }
    texts.push(text)
    bytes += text.length
  }
  parts.push(`[${texts.join(',')}]`)
  return parts
}
