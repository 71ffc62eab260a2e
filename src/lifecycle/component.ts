/** A part of the process with a beginning and an end. */

export interface Component {
  readonly name: string
  start (): Promise<void>
  /** Releases everything; must settle soon after the signal aborts. */
  stop (signal: AbortSignal): Promise<void>
}
