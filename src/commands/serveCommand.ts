/** `serve`: runs an entry instance until a signal or a drain stops it. */
import type { Argv } from 'yargs'
import { readInstanceSettings } from '../settings/instanceSettings.ts'
import type { CommandFactory } from './commandBuilder.ts'
import { CommandError, errorCode, EXIT_CODES, readNamedFile } from './commandContext.ts'
import { loadStartEmbedded, loadStartInstance } from './instanceLoader.ts'
import type { RunningInstance } from './instanceLoader.ts'

interface ServeArguments {
  readonly settings?: string
  readonly embedded: boolean
}

/** Faults of the addresses in the settings, not of the program. */
const LISTEN_ERRORS = ['EADDRINUSE', 'EADDRNOTAVAIL', 'EACCES', 'ENOTFOUND']

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const

/** Stops the instance on a signal, and returns when it has stopped. */
async function waitForStop (instance: RunningInstance): Promise<void> {
  let onFailure: (error: unknown) => void = () => {}
  const failure = new Promise<never>((_resolve, reject) => { onFailure = reject })
  const stop = (): void => { instance.stop().catch(onFailure) }
  for (const signal of STOP_SIGNALS) process.on(signal, stop)
  try {
    await Promise.race([instance.stopped, failure])
  } finally {
    for (const signal of STOP_SIGNALS) process.off(signal, stop)
  }
}

async function startFromFile (file: string): Promise<RunningInstance> {
  const settings = readInstanceSettings(file, await readNamedFile(file))
  const startInstance = await loadStartInstance()
  try {
    return await startInstance(settings)
  } catch (cause) {
    if (!LISTEN_ERRORS.includes(errorCode(cause))) throw cause
    throw new CommandError(`${file}: can't listen (${cause instanceof Error ? cause.message : errorCode(cause)}); check callerAddress, operatorAddress and peerAddress`, EXIT_CODES.refused, { cause })
  }
}

export const createServeCommand: CommandFactory = ({ run }) => ({
  command: 'serve',
  describe: 'Run an entry instance',
  builder: (parser: Argv) => parser
    .option('settings', { type: 'string', requiresArg: true, describe: 'INI file of this instance; docs/settings.md lists the names' })
    .option('embedded', { type: 'boolean', default: false, describe: 'Run with stand-ins for store, list and targets in this process, to try things out' })
    .example('$0 serve --settings entry-1.ini', 'SIGTERM begins a planned stop')
    .example('$0 serve --embedded', 'Try it without a platform'),
  handler: async ({ settings, embedded }: ServeArguments) => await run(async () => {
    if (settings !== undefined && embedded) throw new CommandError('give either --settings or --embedded', EXIT_CODES.wrongUse)
    if (settings === undefined && !embedded) throw new CommandError('give --settings FILE, or --embedded to try things out', EXIT_CODES.wrongUse)
    const instance = settings === undefined ? await (await loadStartEmbedded())() : await startFromFile(settings)
    await waitForStop(instance)
    return EXIT_CODES.done
  })
})
