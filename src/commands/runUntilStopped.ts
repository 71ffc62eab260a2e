/** Connects an instance to the events of its process. */
import type { EventEmitter } from 'node:events'
import type { RunningInstance } from '../instance/runningInstance.ts'

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const
/** The default action of this signal ends the process. */
const RELOAD_SIGNAL = 'SIGHUP'
/** Without a listener, these events end the process, and with it all that the instance serves. */
const ERROR_EVENTS = ['uncaughtException', 'unhandledRejection'] as const

/**
 * Starts the instance, and handles stop and reload signals and unexpected errors from before its start until the process
 * ends: a signal or an error that comes between the end of the stop and the end of the process must not change its exit
 * code. A signal during the start takes effect after it.
 *
 * @example
 * await runUntilStopped(async () => await startOnPlatform(path), process)
 */
export async function runUntilStopped (start: () => Promise<RunningInstance>, events: EventEmitter): Promise<void> {
  let instance: RunningInstance | undefined
  let stopRequestedAtMs: number | undefined
  let reloadRequested = false
  let onFailure: (error: unknown) => void = () => {}
  const failure = new Promise<never>((_resolve, reject) => { onFailure = reject })
  const stop = (): void => {
    stopRequestedAtMs ??= performance.now()
    instance?.stop(performance.now() - stopRequestedAtMs).catch(onFailure)
  }
  const reload = (): void => {
    reloadRequested = true
    instance?.reload?.(RELOAD_SIGNAL)
  }
  const logError = (error: unknown): void => instance === undefined ? console.error('unexpected error during the start:', error) : instance.logUnexpectedError(error)
  for (const signal of STOP_SIGNALS) events.on(signal, stop)
  events.on(RELOAD_SIGNAL, reload)
  for (const event of ERROR_EVENTS) events.on(event, logError)
  try {
    instance = await start()
    if (instance.reload === undefined) events.off(RELOAD_SIGNAL, reload)
    else if (reloadRequested) reload()
    // Without a reload, the signal is to end the process.
    if (stopRequestedAtMs !== undefined || (reloadRequested && instance.reload === undefined)) stop()
    await Promise.race([instance.stopped, failure])
  } catch (error) {
    // What is left open keeps the process running, so that signals need their default action.
    for (const signal of STOP_SIGNALS) events.off(signal, stop)
    for (const event of ERROR_EVENTS) events.off(event, logError)
    events.off(RELOAD_SIGNAL, reload)
    throw error
  }
}
