/** `serve --platform`: runs an instance on the users' platform. */
import { CommandError, EXIT_CODES, reportError } from './commandContext.ts'
import type { CommandContext, ExitCode } from './commandContext.ts'
import { loadStartOnPlatform } from './instanceLoader.ts'
import { runUntilStopped } from './runUntilStopped.ts'

/** Environment variable with the path of the settings file that the platform writes. */
export const PLATFORM_SETTINGS_VARIABLE = 'AGATEGAUGE_CONFIG'

/**
 * Serves until a signal stops the instance; throws `CommandError` without a settings file, and `InputError` if it is invalid.
 *
 * @example
 * await serveOnPlatform({ AGATEGAUGE_CONFIG: '/etc/agategauge/local.toml' })
 */
export async function serveOnPlatform (environment: CommandContext['environment']): Promise<ExitCode> {
  const path = environment[PLATFORM_SETTINGS_VARIABLE]
  if (path === undefined || path === '') throw new CommandError(`--platform needs the path of the settings file in ${PLATFORM_SETTINGS_VARIABLE}`, EXIT_CODES.usageError)
  // Loading the modules takes most of the start, and signals are handled meanwhile.
  await runUntilStopped(async () => await (await loadStartOnPlatform())(path), process)
  return EXIT_CODES.done
}

/** Serves like the command does, with the same messages and exit codes for errors, but without the command-line parser. */
export async function runOnPlatform (context: CommandContext): Promise<ExitCode> {
  try {
    return await serveOnPlatform(context.environment)
  } catch (error) {
    return reportError(error, context)
  }
}
