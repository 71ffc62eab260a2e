/** The clock of the running process. */
import { performance } from 'node:perf_hooks'
import { setTimeout as delay } from 'node:timers/promises'
import type { Clock } from '../../ports/clock.ts'

export class SystemClock implements Clock {
  monotonicMs (): number {
    return performance.now()
  }

  wallMs (): number {
    return Date.now()
  }

  async sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
    await delay(durationMs, undefined, { signal })
  }
}
