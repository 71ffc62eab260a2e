/** Decodes the entries by which targets register themselves in the store. */
import { isIPv4 } from 'node:net'
import { z } from 'zod'
import type { Logger } from '../observability/logger.ts'
import type { ListedTarget, TargetDirectory } from '../ports/targetDirectory.ts'
import { listAll } from '../ports/transactionalStore.ts'
import type { StoredItem, TransactionalStore } from '../ports/transactionalStore.ts'
import { decodeResources, resourcesSchema } from './resources.ts'

export const TARGET_PREFIX = 'servers/'

/** An entry has a few hundred characters; longer ones are not parsed. */
const MAX_ENTRY_LENGTH = 65_536
/** Far beyond any machine, so that no sum of capacities loses its precision. */
const MAX_CAPACITY = 1e9
const MAX_PORT = 65_535
/** Identities are sent in a header. */
const ID_PATTERN = /^[\x21-\x7e]+$/

const capacitySchema = resourcesSchema.refine(capacity => Object.values(capacity).every(amount => amount <= MAX_CAPACITY))

const entrySchema = z.object({
  service: z.string(),
  address: z.string().refine(isAddress),
  zone: z.string(),
  state: z.enum(['ready', 'draining']),
  capacity: capacitySchema,
  /** Machine type, followed by the rack. */
  labels: z.array(z.string()).default([]),
  born: z.number().int().positive()
})

function isAddress (text: string): boolean {
  const [host = '', port = '', ...rest] = text.split(':')
  return rest.length === 0 && isIPv4(host) && /^\d{1,5}$/.test(port) && Number(port) > 0 && Number(port) <= MAX_PORT
}

/** Decodes an entry; returns undefined if it does not describe a target. */
export function decodeTargetEntry ({ key, value }: StoredItem): ListedTarget | undefined {
  const id = key.slice(TARGET_PREFIX.length)
  if (!ID_PATTERN.test(id) || value.length > MAX_ENTRY_LENGTH) return undefined
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
    id,
    bornMs: entry.born,
    service: entry.service,
    address: entry.address,
    dataCentre: entry.zone,
    draining: entry.state === 'draining',
    capacity: decodeResources(entry.capacity),
    labels: entry.labels
  }
}

/** Each unreadable entry is logged once, up to this number of entries. */
const MAX_REPORTED_ENTRIES = 1_000

interface DecodedEntry {
  readonly revision: number
  /** Undefined if the entry does not describe a target. */
  readonly target: ListedTarget | undefined
}

/** Lists the targets that are registered in the store. */
export class StoredTargetDirectory implements TargetDirectory {
  readonly #store: TransactionalStore
  readonly #logger: Logger
  readonly #reportedEntries = new Set<string>()
  /** Decoded entries of the last listing, by key. Caches decoding, since an entry changes only with a heartbeat of its target. */
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
    this.#logger.warn({ key, revision }, 'ignoring an unreadable entry of the target list')
  }
}
