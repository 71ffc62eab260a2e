/** In-memory store with fault injection per client. */
import { StoreUnavailableError, StoreUnknownError } from '../../model/errors.ts'
import type { Store, StoreEntry, WriteOptions, WriteResult } from '../../ports/store.ts'

type WriteListener = (key: string, value?: string) => void

/** One client's connection to the in-memory store, with injectable faults. */
export class StoreClient implements Store {
  readonly #entries: Map<string, StoreEntry>
  readonly #onWrite: WriteListener
  down = false
  /** Writes take effect but their responses are lost. */
  dropsWriteAnswers = false
  /** Writes take effect only after this promise resolves. */
  writesDelayedUntil?: Promise<void>
  /** Writes take effect at once, but their responses wait for this promise. */
  answersHeldUntil?: Promise<void>
  calls = 0

  constructor (entries: Map<string, StoreEntry>, onWrite: WriteListener) {
    this.#entries = entries
    this.#onWrite = onWrite
  }

  async #answer<Result> (action: () => Result, writes = false): Promise<Result> {
    this.calls++
    if (this.down) throw new StoreUnavailableError('the store is down')
    if (writes) await this.writesDelayedUntil
    const result = action()
    if (writes && this.dropsWriteAnswers) throw new StoreUnknownError('the response was lost')
    if (writes) await this.answersHeldUntil
    return result
  }

  #write (key: string, expectedVersion: number, value?: string): WriteResult {
    const current = this.#entries.get(key)
    if ((current?.version ?? 0) !== expectedVersion) return { outcome: 'conflict', current }
    const version = expectedVersion + 1
    if (value === undefined) this.#entries.delete(key)
    else this.#entries.set(key, { key, value, version })
    this.#onWrite(key, value)
    return { outcome: 'written', version }
  }

  get (key: string): Promise<StoreEntry | undefined> {
    return this.#answer(() => this.#entries.get(key))
  }

  list (prefix: string): Promise<readonly StoreEntry[]> {
    return this.#answer(() => [...this.#entries.values()].filter(entry => entry.key.startsWith(prefix)))
  }

  put (key: string, value: string, options: WriteOptions): Promise<WriteResult> {
    return this.#answer(() => this.#write(key, options.expectedVersion, value), true)
  }

  delete (key: string, expectedVersion: number): Promise<WriteResult> {
    return this.#answer(() => this.#write(key, expectedVersion), true)
  }

  grantLease (): Promise<string> {
    return this.#answer(() => 'lease')
  }

  renewLease (): Promise<boolean> {
    return this.#answer(() => true)
  }

  watch (key: string): Promise<StoreEntry | undefined> {
    return this.get(key)
  }
}

export class MemoryStore {
  readonly entries = new Map<string, StoreEntry>()
  /** Called when a write takes effect. */
  onWrite: WriteListener = () => {}

  connect (): StoreClient {
    return new StoreClient(this.entries, (key, value) => this.onWrite(key, value))
  }
}
