/** Loads the composition of an instance only when it is needed, so that other subcommands start fast. */
import { CommandError, EXIT_CODES } from './commandContext.ts'
import type { RunningInstance } from '../instance/runningInstance.ts'
import type { InstanceSettings } from '../settings/instanceSettings.ts'

export type StartInstance = (settings: InstanceSettings) => Promise<RunningInstance>
export type StartEmbedded = () => Promise<RunningInstance>

function throwLoadError (cause: unknown): never {
  throw new CommandError(`this build of the program can't run an instance: ${String(cause)}`, EXIT_CODES.internal, { cause })
}

/** src/instance/startInstance.ts exports `startInstance`. */
export async function loadStartInstance (): Promise<StartInstance> {
  const module = await import('../instance/startInstance.ts').catch(throwLoadError)
  return module.startInstance
}

/** src/instance/startEmbedded.ts exports `startEmbedded`: an instance with stand-ins in one process. */
export async function loadStartEmbedded (): Promise<StartEmbedded> {
  const module = await import('../instance/startEmbedded.ts').catch(throwLoadError)
  return module.startEmbedded
}

/** src/platform/startOnPlatform.ts exports `startOnPlatform`: an instance on the users' platform. */
export async function loadStartOnPlatform (): Promise<(settingsPath: string) => Promise<RunningInstance>> {
  const module = await import('../platform/startOnPlatform.ts').catch(throwLoadError)
  return module.startOnPlatform
}
