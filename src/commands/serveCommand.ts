/** `serve`: runs an entry instance until a signal or a drain stops it. */
import type { Argv } from 'yargs'
import { readInstanceSettings } from '../settings/instanceSettings.ts'
import type { CommandFactory } from './commandBuilder.ts'
import { CommandError, errorCode, EXIT_CODES, readInputFile } from './commandContext.ts'
import { runUntilStopped } from './runUntilStopped.ts'
import { loadStartEmbedded, loadStartInstance } from './instanceLoader.ts'
import { PLATFORM_SETTINGS_VARIABLE, serveOnPlatform } from './serveOnPlatform.ts'
import type { RunningInstance } from '../instance/runningInstance.ts'

interface ServeArguments {
  readonly settings?: string
  readonly embedded: boolean
  readonly platform: boolean
}

/** Error codes caused by the addresses in the settings, not by the program. */
const LISTEN_ERRORS = ['EADDRINUSE', 'EADDRNOTAVAIL', 'EACCES', 'ENOTFOUND']

async function startFromFile (file: string): Promise<RunningInstance> {
  const settings = readInstanceSettings(file, await readInputFile(file))
  const startInstance = await loadStartInstance()
  try {
    return await startInstance(settings)
  } catch (cause) {
    if (!LISTEN_ERRORS.includes(errorCode(cause))) throw cause
    throw new CommandError(`${file}: can't listen (${cause instanceof Error ? cause.message : errorCode(cause)}); check callerAddress, operatorAddress and peerAddress`, EXIT_CODES.rejected, { cause })
  }
}

export const createServeCommand: CommandFactory = ({ run, context }) => ({
  command: 'serve',
  describe: 'Run an entry instance',
  builder: (parser: Argv) => parser
    .option('settings', { type: 'string', requiresArg: true, describe: 'INI file of this instance; docs/settings.md lists its settings' })
    .option('embedded', { type: 'boolean', default: false, describe: 'Run with in-process stand-ins for the store, the instance list and the targets, for evaluation' })
    .option('platform', { type: 'boolean', default: false, describe: `Run on the users' platform with the settings file given by ${PLATFORM_SETTINGS_VARIABLE}` })
    .example('$0 serve --settings entry-1.ini', 'SIGTERM starts a planned stop; with --platform, SIGHUP reloads the settings')
    .example('$0 serve --embedded', 'Run without a platform'),
  handler: async (args: ServeArguments) => await run(async () => {
    requireOneMode(args)
    if (args.platform) return await serveOnPlatform(context.environment)
    const { settings } = args
    await runUntilStopped(settings === undefined ? await loadStartEmbedded() : async () => await startFromFile(settings), process)
    return EXIT_CODES.done
  })
})

function requireOneMode ({ settings, embedded, platform }: ServeArguments): void {
  const modeCount = [settings !== undefined, embedded, platform].filter(Boolean).length
  if (modeCount > 1) throw new CommandError('give only one of --settings, --embedded and --platform', EXIT_CODES.usageError)
  if (modeCount === 0) throw new CommandError('give --settings FILE, --embedded (for evaluation) or --platform', EXIT_CODES.usageError)
}
