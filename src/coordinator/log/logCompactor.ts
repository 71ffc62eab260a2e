/** Compacts the log into a snapshot, which bounds its size and the recovery time of a successor. */
import { randomUUID } from 'node:crypto'
import type { JobTable } from '../../jobs/jobTable.ts'
import type { LogRecord } from '../../jobs/jobRecords.ts'
import { StoreUnknownError } from '../../model/errors.ts'
import { MAX_TRANSACTION_OPERATIONS, listAll } from '../../ports/transactionalStore.ts'
import type { StoreRead, Transaction, TransactionalStore } from '../../ports/transactionalStore.ts'
import type { Logger } from '../../observability/logger.ts'
import { SNAPSHOT_HEAD_KEY, SNAPSHOT_PREFIX, snapshotPartKey, snapshotPrefix } from './logReader.ts'
import type { SnapshotHead } from './logReader.ts'
import { LOG_PREFIX, segmentNumber, TermLostError } from './recordLog.ts'

/** Size of one value, well below the store's limit of 1 MB. */
const MAX_PART_BYTES = 300_000
/** Attempts of a write whose answers are lost, each of which takes up to 1.5 s. */
const MAX_ATTEMPTS = 4
/** The election and the snapshot head. */
const CONDITIONS_PER_COMMIT = 2

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
 * Each write is conditional on the snapshot head that it replaces or belongs to, since the store may execute a write whose
 * answer was lost after later ones. Nothing is removed before the new head is known to be stored.
 *
 * @example
 * await compactLog({ store, logger, election, table, lastSequence: log.nextSequence - 1 })
 */
export async function compactLog (options: CompactionOptions): Promise<void> {
  const { store, logger, table, lastSequence } = options
  const parts = splitRecords(table.toRecords())
  const head: SnapshotHead = { sequence: lastSequence, parts: parts.length, id: randomUUID() }
  const writer = new SnapshotWriter(options, head, await store.get(SNAPSHOT_HEAD_KEY))
  for (const [part, value] of parts.entries()) await writer.commit(`part ${part}`, [{ key: snapshotPartKey(head, part), value }])
  await writer.commitHead()
  const outdated = [
    ...(await listAll(store, LOG_PREFIX)).filter(item => segmentNumber(item.key) <= lastSequence),
    ...(await listAll(store, SNAPSHOT_PREFIX)).filter(item => !item.key.startsWith(snapshotPrefix(head)))
  ].map(item => item.key)
  const perCommit = MAX_TRANSACTION_OPERATIONS - CONDITIONS_PER_COMMIT
  for (let offset = 0; offset < outdated.length; offset += perCommit) await writer.commit('removal', [], outdated.slice(offset, offset + perCommit))
  logger.info({ ...head, removed: outdated.length }, 'log compacted')
}

/** Commits the writes of one compaction. */
class SnapshotWriter {
  readonly #options: CompactionOptions
  readonly #head: SnapshotHead
  /** Revision that the head has as long as no other compaction has replaced it. */
  #headRevision: number

  constructor (options: CompactionOptions, head: SnapshotHead, { item }: StoreRead) {
    this.#options = options
    this.#head = head
    this.#headRevision = item?.revision ?? 0
  }

  async commitHead (): Promise<void> {
    this.#headRevision = await this.commit('head', [{ key: SNAPSHOT_HEAD_KEY, value: JSON.stringify(this.#head) }])
  }

  /** Returns the revision of the write. A write whose answer was lost is repeated, which has no further effect. */
  async commit (name: string, writes: Transaction['writes'], removes: readonly string[] = []): Promise<number> {
    for (let attempt = 1; ; attempt++) {
      try {
        const revision = await this.#tryCommit(writes, removes)
        if (revision !== undefined) return revision
      } catch (error) {
        const isUnknown = error instanceof StoreUnknownError
        this.#options.logger.warn({ write: name, ...this.#head, headRevision: this.#headRevision, attempt, certain: !isUnknown, error: String(error) }, 'write of a log compaction failed')
        if (!isUnknown || attempt === MAX_ATTEMPTS) throw error
      }
    }
  }

  /** Returns undefined if an earlier compaction of this term has replaced the head in the meantime. */
  async #tryCommit (writes: Transaction['writes'], removes: readonly string[]): Promise<number | undefined> {
    const { store, election, logger } = this.#options
    const result = await store.commit({ conditions: [election, { key: SNAPSHOT_HEAD_KEY, revision: this.#headRevision }], writes, removes })
    if (result.outcome === 'committed') return result.revision
    const current = result.outcome === 'conflict' ? result.current : []
    if (!current.some(({ key, revision }) => key === election.key && revision === election.revision)) throw new TermLostError('the election key has changed')
    const head = current.find(({ key }) => key === SNAPSHOT_HEAD_KEY)
    if (head === undefined || head.revision === this.#headRevision) throw new StoreUnknownError('a commit conflicts without a changed key')
    if (head.value === JSON.stringify(this.#head)) return head.revision
    logger.info({ ...this.#head, headRevision: head.revision, current: head.value }, 'an earlier write of the snapshot head was executed late')
    this.#headRevision = head.revision
    return undefined
  }
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
