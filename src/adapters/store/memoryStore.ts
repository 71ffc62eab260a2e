/** An in-memory store, for tests and the HTTP stand-in. */
import { InputError, StoreUnavailableError } from '../../model/errors.ts'
import type { Clock } from '../../ports/clock.ts'
import type { Store, StoreEntry, WriteOptions, WriteResult } from '../../ports/store.ts'

/** The platform's limit for the size of a value, in bytes of UTF-8. */
export const MAX_VALUE_BYTES = 1_000_000

export type StoreMethod = keyof Store

interface StoredEntry extends StoreEntry {
  readonly lease?: string
}

interface Watcher {
  readonly key: string
  readonly afterVersion: number
  readonly wake: () => void
}

/**
 * Keeps entries in memory. A key's version is never reused after its deletion, so that a
 * compare-and-swap based on the deleted entry cannot succeed.
 *
 * @example
 * const store = new MemoryStore(new SystemClock())
 * await store.put('registry', '{}', { expectedVersion: 0 })
 */
export class MemoryStore implements Store {
  /** Number of calls by method; a pending watch counts as one. */
  readonly calls: Record<StoreMethod, number> =
    { get: 0, list: 0, put: 0, delete: 0, grantLease: 0, renewLease: 0, watch: 0 }

  readonly #clock: Clock
  readonly #entries = new Map<string, StoredEntry>()
  readonly #leases = new Map<string, { durationMs: number, expiresAt: number }>()
  readonly #watchers = new Set<Watcher>()
  #leaseCount = 0
  /** Highest version of any deleted key; the versions of new keys start above it. */
  #highestDeletedVersion = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  async get (key: string, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    this.#beginCall('get', signal)
    return this.#read(key)
  }

  async list (prefix: string, signal?: AbortSignal): Promise<readonly StoreEntry[]> {
    this.#beginCall('list', signal)
    const keys = [...this.#entries.keys()].filter(key => key.startsWith(prefix)).sort()
    return keys.flatMap(key => this.#read(key) ?? [])
  }

  async put (key: string, value: string, options: WriteOptions, signal?: AbortSignal): Promise<WriteResult> {
    this.#beginCall('put', signal)
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      throw new InputError(`the value of ${key} is larger than ${MAX_VALUE_BYTES} bytes`)
    }
    if (options.lease !== undefined && !this.#leases.has(options.lease)) {
      throw new InputError(`the lease ${options.lease} for ${key} has expired or was never granted`)
    }
    const current = this.#read(key)
    if ((current?.version ?? 0) !== options.expectedVersion) return { outcome: 'conflict', current }
    const version = (current?.version ?? this.#highestDeletedVersion) + 1
    this.#entries.set(key, { key, value, version, lease: options.lease })
    for (const watcher of this.#watchers) {
      if (watcher.key === key && version > watcher.afterVersion) watcher.wake()
    }
    return { outcome: 'written', version }
  }

  async delete (key: string, expectedVersion: number, signal?: AbortSignal): Promise<WriteResult> {
    this.#beginCall('delete', signal)
    const current = this.#read(key)
    if (current === undefined || current.version !== expectedVersion) return { outcome: 'conflict', current }
    this.#remove(current)
    return { outcome: 'written', version: expectedVersion }
  }

  async grantLease (durationMs: number, signal?: AbortSignal): Promise<string> {
    this.#beginCall('grantLease', signal)
    if (!(durationMs > 0)) throw new InputError(`the duration of a lease must be above 0 ms, not ${durationMs}`)
    const lease = `lease-${++this.#leaseCount}`
    this.#leases.set(lease, { durationMs, expiresAt: this.#clock.monotonicMs() + durationMs })
    return lease
  }

  async renewLease (lease: string, signal?: AbortSignal): Promise<boolean> {
    this.#beginCall('renewLease', signal)
    const granted = this.#leases.get(lease)
    if (granted === undefined) return false
    granted.expiresAt = this.#clock.monotonicMs() + granted.durationMs
    return true
  }

  async watch (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    this.#beginCall('watch', signal)
    const current = this.#read(key)
    if (current !== undefined && current.version > afterVersion) return current
    await this.#waitForWrite(key, afterVersion, timeoutMs, signal)
    this.#expireLeases()
    return this.#read(key)
  }

  /** Total number of calls. */
  get totalCalls (): number {
    return Object.values(this.calls).reduce((sum, count) => sum + count, 0)
  }

  async #waitForWrite (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal): Promise<void> {
    const timeoutAbort = new AbortController()
    const onAbort = (): void => timeoutAbort.abort(signal?.reason)
    signal?.addEventListener('abort', onAbort, { once: true })
    let watcher: Watcher | undefined
    const written = new Promise<void>(resolve => {
      watcher = { key, afterVersion, wake: resolve }
      this.#watchers.add(watcher)
    })
    const timeout = this.#clock.sleep(timeoutMs, timeoutAbort.signal).catch(() => {
      if (signal?.aborted) throw createAbortedError(signal)
    })
    try {
      await Promise.race([written, timeout])
    } finally {
      if (watcher !== undefined) this.#watchers.delete(watcher)
      signal?.removeEventListener('abort', onAbort)
      timeoutAbort.abort()
    }
  }

  #beginCall (method: StoreMethod, signal?: AbortSignal): void {
    if (signal?.aborted) throw createAbortedError(signal)
    this.calls[method]++
    this.#expireLeases()
  }

  #expireLeases (): void {
    const now = this.#clock.monotonicMs()
    for (const [lease, { expiresAt }] of this.#leases) {
      if (expiresAt > now) continue
      this.#leases.delete(lease)
      for (const entry of this.#entries.values()) if (entry.lease === lease) this.#remove(entry)
    }
  }

  #remove (entry: StoreEntry): void {
    this.#entries.delete(entry.key)
    this.#highestDeletedVersion = Math.max(this.#highestDeletedVersion, entry.version)
  }

  #read (key: string): StoreEntry | undefined {
    const entry = this.#entries.get(key)
    return entry && { key, value: entry.value, version: entry.version }
  }
}

function createAbortedError (signal: AbortSignal): Error {
  return new StoreUnavailableError('the call was aborted before it took effect:', { cause: signal.reason })
}
