/** Loads the modules of an instance on demand, so that other subcommands start faster. */
import { CommandError, EXIT_CODES } from './commandContext.ts'
import type { RunningInstance } from '../instance/runningInstance.ts'
import type { InstanceSettings } from '../settings/instanceSettings.ts'

export type StartInstance = (settings: InstanceSettings) => Promise<RunningInstance>
export type StartEmbedded = () => Promise<RunningInstance>

function throwLoadError (cause: unknown): never {
  throw new CommandError(`can't load the instance modules of this build: ${String(cause)}`, EXIT_CODES.internal, { cause })
}

export async function loadStartInstance (): Promise<StartInstance> {
  const module = await import('../instance/startInstance.ts').catch(throwLoadError)
  return module.startInstance
}

/** Loads the start function of an instance with in-process stand-ins for its dependencies. */
export async function loadStartEmbedded (): Promise<StartEmbedded> {
  const module = await import('../instance/startEmbedded.ts').catch(throwLoadError)
  return module.startEmbedded
}

/** Loads the start function of an instance on the users' platform. */
export async function loadStartOnPlatform (): Promise<(settingsPath: string) => Promise<RunningInstance>> {
  const module = await import('../platform/startOnPlatform.ts').catch(throwLoadError)
  return module.startOnPlatform
}
