/** Time source of the program; tests inject a manually advanced clock. */

export type CancelTimer = () => void

export interface Clock {
  /** Monotonic time in milliseconds, for durations and deadlines within this process. */
  monotonicMs (): number
  /** Milliseconds since the Unix epoch; only for times that leave this process. */
  wallMs (): number
  /** Resolves after the duration, or rejects with the signal's reason when it aborts. */
  sleep (durationMs: number, signal?: AbortSignal): Promise<void>
}

/** A clock with timers that are cheap to cancel, for time limits that are rarely reached. */
export interface TimerClock extends Clock {
  /** Runs the action after the duration unless it is cancelled first. */
  schedule (durationMs: number, action: () => void): CancelTimer
}
