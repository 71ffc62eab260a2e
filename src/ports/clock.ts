/** Time as the program sees it; tests inject a manual clock. */

export type CancelTimer = () => void

export interface Clock {
  /** Milliseconds that never run backwards; for durations and deadlines within this process. */
  monotonicMs (): number
  /** Milliseconds since the epoch; only for times that leave this process. */
  wallMs (): number
  /** Resolves after the duration, or rejects with the signal's reason when it aborts. */
  sleep (durationMs: number, signal?: AbortSignal): Promise<void>
}

/** A clock with timers that are cheap to cancel, for limits that are seldom reached. */
export interface TimerClock extends Clock {
  /** Runs the action after the duration unless it is cancelled before. */
  schedule (durationMs: number, action: () => void): CancelTimer
}
