/** Connects a running instance to the events of its process. */
import type { EventEmitter } from 'node:events'
import type { RunningInstance } from '../instance/runningInstance.ts'

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const
/** The default action of this signal ends the process. */
const RELOAD_SIGNAL = 'SIGHUP'
/** Without a listener, these events end the process, and with it all that the instance serves. */
const ERROR_EVENTS = ['uncaughtException', 'unhandledRejection'] as const

/**
 * Handles stop and reload signals and unexpected errors until the instance has stopped.
 *
 * @example
 * await runUntilStopped(instance, process)
 */
export async function runUntilStopped (instance: RunningInstance, events: EventEmitter): Promise<void> {
  let onFailure: (error: unknown) => void = () => {}
  const failure = new Promise<never>((_resolve, reject) => { onFailure = reject })
  const stop = (): void => { instance.stop().catch(onFailure) }
  const reload = (): void => instance.reload?.(RELOAD_SIGNAL)
  const logError = (error: unknown): void => instance.logUnexpectedError(error)
  for (const signal of STOP_SIGNALS) events.on(signal, stop)
  for (const event of ERROR_EVENTS) events.on(event, logError)
  if (instance.reload !== undefined) events.on(RELOAD_SIGNAL, reload)
  try {
    await Promise.race([instance.stopped, failure])
  } finally {
    for (const signal of STOP_SIGNALS) events.off(signal, stop)
    for (const event of ERROR_EVENTS) events.off(event, logError)
    events.off(RELOAD_SIGNAL, reload)
  }
}
