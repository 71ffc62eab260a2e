/** The clocks and timers of Node.js. */
import { performance } from 'node:perf_hooks'
import { setTimeout as delay } from 'node:timers/promises'
import type { CancelTimer, TimerClock } from '../../ports/clock.ts'

export class SystemClock implements TimerClock {
  monotonicMs (): number {
    return performance.now()
  }

  wallMs (): number {
    return Date.now()
  }

  async sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
    await delay(durationMs, undefined, { signal })
  }

  schedule (durationMs: number, action: () => void): CancelTimer {
    const timer = setTimeout(action, durationMs)
    return () => clearTimeout(timer)
  }
}
