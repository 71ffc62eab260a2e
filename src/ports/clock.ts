/** Time as the program sees it; tests inject a manual clock. */

export interface Clock {
  /** Milliseconds that never run backwards; for durations and deadlines within this process. */
  monotonicMs (): number
  /** Milliseconds since the epoch; only for times that leave this process. */
  wallMs (): number
  /** Resolves after the duration, or rejects with the signal's reason when it aborts. */
  sleep (durationMs: number, signal?: AbortSignal): Promise<void>
}
