/** A started instance. */
export interface RunningInstance {
  /** Starts the graceful shutdown, `elapsedMs` after the signal arrived; further calls have no effect. */
  stop (elapsedMs?: number): Promise<void>
  /** Applies changed settings; omitted if the instance reads its settings only at startup. */
  reload? (source: string): void
  /** Logs an error that no part of the program handled; the instance keeps running. */
  logUnexpectedError (error: unknown): void
  /** Resolves when everything has stopped, whatever caused it; rejects if the instance failed. */
  readonly stopped: Promise<void>
}
