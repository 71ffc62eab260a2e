/** Starts components in order and stops them in reverse order, each stop with a time-out. */
import type { Component } from './component.ts'

export interface StopFailure {
  readonly component: string
  readonly error: unknown
}

/**
 * Manages the components of a process.
 *
 * @example
 * const manager = new LifecycleManager(5_000)
 * manager.add(callerServer)
 * await manager.start()
 * await manager.stop()
 */
export class LifecycleManager {
  readonly #components: Component[] = []
  readonly #started: Component[] = []
  readonly #stopTimeoutMs: number

  constructor (stopTimeoutMs: number) {
    this.#stopTimeoutMs = stopTimeoutMs
  }

  add (component: Component): void {
    this.#components.push(component)
  }

  /** Starts all components; if one fails, stops those already started and rejects with its error. */
  async start (): Promise<void> {
    for (const component of this.#components) {
      try {
        await component.start()
        this.#started.push(component)
      } catch (error) {
        await this.stop()
        throw error
      }
    }
  }

  /**
   * Stops the started components in reverse order and returns the failures. `totalMs` limits the time that all take
   * together; once it is used up, the remaining components are told to stop without waiting for them.
   */
  async stop (totalMs = Infinity): Promise<readonly StopFailure[]> {
    const failures: StopFailure[] = []
    const startedAtMs = performance.now()
    for (let component = this.#started.pop(); component !== undefined; component = this.#started.pop()) {
      try {
        await this.#stopComponent(component, Math.min(this.#stopTimeoutMs, Math.max(0, startedAtMs + totalMs - performance.now())))
      } catch (error) {
        failures.push({ component: component.name, error })
      }
    }
    return failures
  }

  async #stopComponent (component: Component, timeoutMs: number): Promise<void> {
    const abort = new AbortController()
    const timer = setTimeout(
      () => abort.abort(new Error(`component ${component.name} did not stop within ${Math.round(timeoutMs)} ms`)),
      timeoutMs)
    const aborted = new Promise<never>((_resolve, reject) => {
      abort.signal.addEventListener('abort', () => reject(abort.signal.reason), { once: true })
    })
    try {
      await Promise.race([component.stop(abort.signal), aborted])
    } finally {
      clearTimeout(timer)
    }
  }
}
