/** Process interface of long-running commands: line output and stop signals. */
import { LifecycleManager } from '../../lifecycle/lifecycleManager.ts'
import { BaseError } from '../../model/errors.ts'
import type { Component } from '../../lifecycle/component.ts'

const STOP_TIMEOUT_MS = 5_000

export interface Terminal {
  readonly writeLine: (line: string) => void
  /** Resolves when the process is asked to stop. */
  readonly waitForStop: () => Promise<void>
}

export const processTerminal: Terminal = {
  writeLine: line => { process.stdout.write(`${line}\n`) },
  waitForStop: () => new Promise(resolve => {
    const stop = (): void => {
      process.off('SIGTERM', stop)
      process.off('SIGINT', stop)
      resolve()
    }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
  })
}

/** Starts the components, prints the description as one line of JSON, and stops the components on request. */
export async function serveUntilStopped (
  components: readonly Component[], describe: () => Readonly<Record<string, unknown>>, terminal: Terminal
): Promise<void> {
  const manager = new LifecycleManager(STOP_TIMEOUT_MS)
  for (const component of components) manager.add(component)
  // Registered before the line is printed, so that a stop signal sent right after it is not lost.
  const stopRequested = terminal.waitForStop()
  await manager.start()
  terminal.writeLine(JSON.stringify(describe()))
  await stopRequested
  const [failure] = await manager.stop()
  if (failure !== undefined) throw new BaseError(`${failure.component} did not stop:`, { cause: failure.error })
}
