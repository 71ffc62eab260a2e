/** Simulates pauses and crashes of an instance by suspending its port calls, and coalesces wake-ups of the manual clock. */
import { setMaxListeners } from 'node:events'
import type { ManualClock } from '../../src/adapters/clock/manualClock.ts'
import { PeerLostError } from '../../src/adapters/peer/memoryPeerNetwork.ts'
import type { Clock } from '../../src/ports/clock.ts'

/** Sleeps are rounded up to a multiple of this, so that one turn of the event loop wakes many sleepers. */
const WAKE_UP_INTERVAL_MS = 20

export type Phase = 'before' | 'after'
export type CallObserver = (method: string, args: readonly unknown[], phase: Phase) => void

/** A clock that coalesces the wake-ups of its sleepers on a manual clock. */
export class CoalescingClock implements Clock {
  readonly #clock: ManualClock
  readonly #wakeUps = new Map<number, { readonly waiting: Set<() => void> }>()

  constructor (clock: ManualClock) {
    this.#clock = clock
  }

  monotonicMs (): number {
    return this.#clock.monotonicMs()
  }

  wallMs (): number {
    return this.#clock.wallMs()
  }

  sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(signal.reason)
      const { waiting } = this.#wakeAt(Math.ceil((this.monotonicMs() + Math.max(durationMs, 1)) / WAKE_UP_INTERVAL_MS) * WAKE_UP_INTERVAL_MS)
      const onAbort = (): void => {
        waiting.delete(wake)
        reject(signal?.reason)
      }
      const wake = (): void => {
        signal?.removeEventListener('abort', onAbort)
        resolve()
      }
      signal?.addEventListener('abort', onAbort, { once: true })
      waiting.add(wake)
    })
  }

  #wakeAt (atMs: number): { readonly waiting: Set<() => void> } {
    const known = this.#wakeUps.get(atMs)
    if (known !== undefined) return known
    const wake = { waiting: new Set<() => void>() }
    this.#wakeUps.set(atMs, wake)
    this.#clock.sleep(atMs - this.monotonicMs()).then(() => {
      this.#wakeUps.delete(atMs)
      for (const resume of wake.waiting) resume()
    }, () => {})
    return wake
  }
}

/** Suspends the port calls, sleeps and streams of one process while it is paused, and for ever once it has crashed. */
export class Gate {
  readonly #crash = new AbortController()
  #paused = false
  #waiting: Array<() => void> = []

  constructor () {
    // Every open stream adds a listener to this signal, so the limit is lifted.
    setMaxListeners(0, this.#crash.signal)
  }

  get paused (): boolean {
    return this.#paused
  }

  get crashed (): AbortSignal {
    return this.#crash.signal
  }

  pause (): void {
    this.#paused = true
  }

  resume (): void {
    if (this.crashed.aborted) return
    this.#paused = false
    const waiting = this.#waiting
    this.#waiting = []
    for (const wake of waiting) wake()
  }

  /** Suspends everything for good and breaks the streams served to others. */
  crash (): void {
    this.#paused = true
    this.#crash.abort(new PeerLostError('the process crashed'))
  }

  async waitUntilResumed (): Promise<void> {
    while (this.#paused) await new Promise<void>(resolve => this.#waiting.push(resolve))
  }

  clock (clock: Clock): Clock {
    return {
      monotonicMs: () => clock.monotonicMs(),
      wallMs: () => clock.wallMs(),
      sleep: (durationMs, signal) => this.#holdResult(clock.sleep(durationMs, signal))
    }
  }

  /** Wraps a port so that calls, answers and errors wait while paused. `run` returns a stream and is passed through; see `serveStream` and `readStream`. */
  wrap<Port extends object> (port: Port, observe: CallObserver = () => {}): Port {
    return new Proxy(port, {
      get: (target, name) => {
        const member: unknown = Reflect.get(target, name, target)
        if (typeof member !== 'function' || name === 'run') return typeof member === 'function' ? member.bind(target) : member
        return async (...args: readonly unknown[]) => {
          await this.waitUntilResumed()
          observe(String(name), args, 'before')
          await this.waitUntilResumed()
          try {
            return await (member.apply(target, args) as Promise<unknown>)
          } finally {
            observe(String(name), args, 'after')
            await this.waitUntilResumed()
          }
        }
      }
    })
  }

  /** Wraps a stream that others read from this instance; it fails when the instance crashes. */
  async * serveStream<Event> (events: AsyncIterable<Event>): AsyncIterable<Event> {
    const broken = new Promise<never>((_resolve, reject) => {
      if (this.crashed.aborted) reject(this.crashed.reason)
      this.crashed.addEventListener('abort', () => reject(this.crashed.reason), { once: true })
    })
    broken.catch(() => {})
    const iterator = events[Symbol.asyncIterator]()
    try {
      for (;;) {
        const next = await Promise.race([this.#next(iterator), broken])
        if (next.done === true) return
        yield next.value
      }
    } finally {
      iterator.return?.().catch(() => {})
    }
  }

  /** Wraps a stream that this instance reads from others; it stalls while the instance is paused or has crashed. */
  async * readStream<Event> (events: AsyncIterable<Event>, check: () => void): AsyncIterable<Event> {
    try {
      for await (const event of events) {
        await this.waitUntilResumed()
        check()
        yield event
      }
    } finally {
      await this.waitUntilResumed()
    }
  }

  async #next<Event> (iterator: AsyncIterator<Event>): Promise<IteratorResult<Event>> {
    return await this.#holdResult(this.waitUntilResumed().then(async () => await iterator.next()))
  }

  async #holdResult<Result> (pending: Promise<Result>): Promise<Result> {
    try {
      return await pending
    } finally {
      await this.waitUntilResumed()
    }
  }
}
