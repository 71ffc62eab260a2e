/** In-memory store for tests, with faults that are injected separately for each caller. */
import { StoreUnavailableError, StoreUnknownError } from '../../model/errors.ts'
import type { Clock } from '../../ports/clock.ts'
import type { Store, StoreEntry, WriteOptions, WriteResult } from '../../ports/store.ts'
import type { InstanceFaults } from './instanceFaults.ts'

export class FakeStore {
  readonly #entries = new Map<string, StoreEntry>()
  readonly #watchers = new Map<string, Set<() => void>>()
  #leases = 0
  calls = 0

  read (key: string): StoreEntry | undefined {
    return this.#entries.get(key)
  }

  list (prefix: string): readonly StoreEntry[] {
    return [...this.#entries.values()].filter(entry => entry.key.startsWith(prefix))
      .sort((left, right) => left.key < right.key ? -1 : 1)
  }

  write (key: string, value: string | undefined, expectedVersion: number): WriteResult {
    const current = this.#entries.get(key)
    if ((current?.version ?? 0) !== expectedVersion) return { outcome: 'conflict', current }
    const version = expectedVersion + 1
    if (value === undefined) this.#entries.delete(key)
    else this.#entries.set(key, { key, value, version })
    this.#watchers.get(key)?.forEach(wake => wake())
    return { outcome: 'written', version }
  }

  /** Returns a client of the store that is subject to the faults of one instance. */
  connect (faults: InstanceFaults, clock: Clock): Store {
    const read = async <T>(operation: () => T): Promise<T> => {
      this.calls++
      await faults.waitWhilePaused()
      if (faults.nextFault('store') !== 'none') throw new StoreUnavailableError('injected fault: the store is down')
      const result = operation()
      await faults.waitWhilePaused()
      return result
    }
    const write = async (operation: () => WriteResult): Promise<WriteResult> => {
      this.calls++
      await faults.waitWhilePaused()
      const fault = faults.nextFault('store')
      if (fault === 'down') throw new StoreUnavailableError('injected fault: the store is down')
      if (fault === 'delayed') {
        clock.sleep(faults.randomDelayMs()).then(operation, () => {})
        throw new StoreUnknownError('injected fault: the write is delayed and its answer was lost')
      }
      const result = operation()
      await faults.waitWhilePaused()
      if (fault === 'answerLost') throw new StoreUnknownError('injected fault: the answer to the write was lost')
      return result
    }
    return {
      get: key => read(() => this.read(key)),
      list: prefix => read(() => this.list(prefix)),
      put: (key, value, options: WriteOptions) => write(() => this.write(key, value, options.expectedVersion)),
      delete: (key, expectedVersion) => write(() => this.write(key, undefined, expectedVersion)),
      grantLease: () => read(() => `lease-${this.#leases++}`),
      renewLease: () => read(() => true),
      watch: async (key, afterVersion, timeoutMs, signal) => {
        if ((this.read(key)?.version ?? 0) <= afterVersion) await this.#waitForWrite(key, timeoutMs, clock, signal)
        return await read(() => this.read(key))
      }
    }
  }

  async #waitForWrite (key: string, timeoutMs: number, clock: Clock, signal?: AbortSignal): Promise<void> {
    const wakeUp = new AbortController()
    const wake = (): void => wakeUp.abort()
    const watchers = this.#watchers.get(key) ?? new Set()
    this.#watchers.set(key, watchers.add(wake))
    signal?.addEventListener('abort', wake)
    try {
      await clock.sleep(timeoutMs, wakeUp.signal).catch(() => {})
      signal?.throwIfAborted()
    } finally {
      watchers.delete(wake)
      signal?.removeEventListener('abort', wake)
    }
  }
}
