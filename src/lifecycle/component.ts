/** A part of the process that is started and stopped. */

export interface Component {
  readonly name: string
  start (): Promise<void>
  /** Releases all resources; must settle soon after the signal aborts. */
  stop (signal: AbortSignal): Promise<void>
}
