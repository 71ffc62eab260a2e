/** Decodes what targets say of themselves in the store. */
import { z } from 'zod'
import type { Logger } from '../observability/logger.ts'
import type { ListedTarget, TargetDirectory } from '../ports/targetDirectory.ts'
import { listAll } from '../ports/transactionalStore.ts'
import type { StoredItem, TransactionalStore } from '../ports/transactionalStore.ts'
import { decodeResources, resourcesSchema } from './resources.ts'

export const TARGET_PREFIX = 'servers/'

const entrySchema = z.object({
  service: z.string(),
  address: z.string().regex(/^[^\s:]+:\d+$/),
  zone: z.string(),
  state: z.enum(['ready', 'draining']),
  capacity: resourcesSchema,
  /** The kind of the machine, then its rack. */
  labels: z.array(z.string()).default([]),
  born: z.number().default(0)
})

/** Decodes an entry; undefined if it was not written by a target. */
export function decodeTargetEntry ({ key, value }: StoredItem): ListedTarget | undefined {
  let raw: unknown
  try {
    raw = JSON.parse(value)
  } catch {
    return undefined
  }
  const parsed = entrySchema.safeParse(raw)
  if (!parsed.success) return undefined
  const entry = parsed.data
  return {
    id: key.slice(TARGET_PREFIX.length),
    bornMs: entry.born,
    service: entry.service,
    address: entry.address,
    dataCentre: entry.zone,
    draining: entry.state === 'draining',
    capacity: decodeResources(entry.capacity),
    labels: entry.labels
  }
}

/** Entries that can not be read are logged once; more than this many are not remembered. */
const MAX_REPORTED_ENTRIES = 1_000

interface DecodedEntry {
  readonly revision: number
  /** Undefined if the entry was not written by a target. */
  readonly target: ListedTarget | undefined
}

export class StoredTargetDirectory implements TargetDirectory {
  readonly #store: TransactionalStore
  readonly #logger: Logger
  readonly #reportedEntries = new Set<string>()
  /** Of the last listing, by key; entries change only with each heartbeat of their target. */
  #decodedEntries: ReadonlyMap<string, DecodedEntry> = new Map()

  constructor (store: TransactionalStore, logger: Logger) {
    this.#store = store
    this.#logger = logger
  }

  async list (): Promise<readonly ListedTarget[]> {
    const decoded = new Map<string, DecodedEntry>()
    for (const item of await listAll(this.#store, TARGET_PREFIX)) {
      const cached = this.#decodedEntries.get(item.key)
      const entry = cached?.revision === item.revision ? cached : { revision: item.revision, target: decodeTargetEntry(item) }
      decoded.set(item.key, entry)
      if (entry.target === undefined) this.#reportUnreadableEntry(item)
    }
    this.#decodedEntries = decoded
    return [...decoded.values()].flatMap(({ target }) => target ?? [])
  }

  #reportUnreadableEntry ({ key, revision }: StoredItem): void {
    if (this.#reportedEntries.has(key) || this.#reportedEntries.size >= MAX_REPORTED_ENTRIES) return
    this.#reportedEntries.add(key)
    this.#logger.warn({ key, revision }, 'an entry of the target list can not be read; it names no target')
  }
}
