/** A started instance. */
export interface RunningInstance {
  /** Begins the planned stop; calling it again changes nothing. */
  stop (): Promise<void>
  /** Puts changed settings in force; left out if the instance reads them at its start only. */
  reload? (source: string): void
  /** Resolves when everything has stopped, whatever caused it; rejects if the instance failed. */
  readonly stopped: Promise<void>
}
