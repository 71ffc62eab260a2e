/** A store decorator that injects faults, for tests. */
import { StoreUnavailableError, StoreUnknownError } from '../../model/errors.ts'
import type { Clock } from '../../ports/clock.ts'
import type { Store, StoreEntry, WriteOptions, WriteResult } from '../../ports/store.ts'
import type { StoreMethod } from './memoryStore.ts'

export interface StoreCall {
  /** Index among all calls of this decorator, from 0. */
  readonly index: number
  readonly method: StoreMethod
  /** Key, prefix or lease; empty for a grant. */
  readonly key: string
  /** Value of a put. */
  readonly value?: string
}

export type StoreFault =
  /** The call has no effect and rejects with `StoreUnavailableError`. */
  | { readonly type: 'down' }
  /** The call takes effect, and a write rejects with `StoreUnknownError`, a read with `StoreUnavailableError`. */
  | { readonly type: 'loseAnswer' }
  /** The call takes effect after the duration. */
  | { readonly type: 'delay', readonly durationMs: number }
  /** The call takes effect immediately and resolves after the duration. */
  | { readonly type: 'delayAnswer', readonly durationMs: number }
  /** The call rejects immediately, as with `loseAnswer`, and takes effect after the duration. */
  | { readonly type: 'delayedEffect', readonly durationMs: number }

/** Returns the fault for a call, or undefined for none. */
export type ChooseStoreFault = (call: StoreCall) => StoreFault | undefined

const READ_METHODS: ReadonlySet<StoreMethod> = new Set<StoreMethod>(['get', 'list', 'watch'])

/**
 * Decorates a store with at most one fault per call.
 *
 * @example
 * const store = new FaultyStore(memoryStore, clock, call => call.method === 'put' ? { type: 'loseAnswer' } : undefined)
 */
export class FaultyStore implements Store {
  /** Chooses the fault for each call; assign it to start or end a fault. */
  chooseFault: ChooseStoreFault
  readonly #store: Store
  readonly #clock: Clock
  readonly #delayedEffects = new Set<Promise<unknown>>()
  #index = 0

  constructor (store: Store, clock: Clock, chooseFault: ChooseStoreFault = () => undefined) {
    this.#store = store
    this.#clock = clock
    this.chooseFault = chooseFault
  }

  get (key: string, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    return this.#call({ method: 'get', key }, () => this.#store.get(key, signal), signal)
  }

  list (prefix: string, signal?: AbortSignal): Promise<readonly StoreEntry[]> {
    return this.#call({ method: 'list', key: prefix }, () => this.#store.list(prefix, signal), signal)
  }

  put (key: string, value: string, options: WriteOptions, signal?: AbortSignal): Promise<WriteResult> {
    return this.#call({ method: 'put', key, value }, () => this.#store.put(key, value, options), signal)
  }

  delete (key: string, expectedVersion: number, signal?: AbortSignal): Promise<WriteResult> {
    return this.#call({ method: 'delete', key }, () => this.#store.delete(key, expectedVersion), signal)
  }

  grantLease (durationMs: number, signal?: AbortSignal): Promise<string> {
    return this.#call({ method: 'grantLease', key: '' }, () => this.#store.grantLease(durationMs), signal)
  }

  renewLease (lease: string, signal?: AbortSignal): Promise<boolean> {
    return this.#call({ method: 'renewLease', key: lease }, () => this.#store.renewLease(lease), signal)
  }

  watch (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal): Promise<StoreEntry | undefined> {
    return this.#call({ method: 'watch', key }, () => this.#store.watch(key, afterVersion, timeoutMs, signal), signal)
  }

  /** Resolves when every delayed effect has taken place. */
  async settled (): Promise<void> {
    await Promise.all(this.#delayedEffects)
  }

  async #call<T> (call: Omit<StoreCall, 'index'>, perform: () => Promise<T>, signal?: AbortSignal): Promise<T> {
    if (signal?.aborted) throw new StoreUnavailableError('the call was aborted:', { cause: signal.reason })
    const fault = this.chooseFault({ ...call, index: this.#index++ })
    switch (fault?.type) {
      case undefined:
        return await perform()
      case 'down':
        throw new StoreUnavailableError(`injected fault: the store is down: ${call.method} ${call.key}`)
      case 'loseAnswer':
        await perform()
        throw createLostAnswerError(call)
      case 'delay':
        await this.#delay(fault.durationMs, new StoreUnavailableError('the call was aborted'), signal)
        return await perform()
      case 'delayAnswer': {
        const result = await perform()
        await this.#delay(fault.durationMs, createLostAnswerError(call), signal)
        return result
      }
      case 'delayedEffect':
        this.#scheduleEffect(fault.durationMs, perform)
        throw createLostAnswerError(call)
    }
  }

  async #delay (durationMs: number, aborted: Error, signal?: AbortSignal): Promise<void> {
    try {
      await this.#clock.sleep(durationMs, signal)
    } catch {
      throw aborted
    }
  }

  #scheduleEffect (durationMs: number, perform: () => Promise<unknown>): void {
    // The caller has already received its error, so a conflict or failure of the delayed call is discarded.
    const delayedEffect: Promise<unknown> = this.#clock.sleep(durationMs).then(perform).catch(() => undefined)
      .finally(() => this.#delayedEffects.delete(delayedEffect))
    this.#delayedEffects.add(delayedEffect)
  }
}

function createLostAnswerError (call: Omit<StoreCall, 'index'>): Error {
  const message = `the store's response was lost: ${call.method} ${call.key}`
  return READ_METHODS.has(call.method) ? new StoreUnavailableError(message) : new StoreUnknownError(message)
}
