/** List of all subcommands, in the order of the help text. */
import type { CommandFactory, Subcommand } from './commandBuilder.ts'
import { createDrainCommand, createUndrainCommand } from './drainCommand.ts'
import { createExplainCommand } from './explainCommand.ts'
import { createKeyCommand } from './keyCommand.ts'
import { createLimitCommand } from './limitCommand.ts'
import { createPolicyCommand } from './policyCommand.ts'
import { createServeCommand } from './serveCommand.ts'
import { createSettingsCommand } from './settingsCommand.ts'
import { createShareCommand } from './shareCommand.ts'
import { createStatusCommand } from './statusCommand.ts'
import { standInCommand } from './standIn/standInCommand.ts'
import { createTeamCommand } from './teamCommand.ts'

export const COMMAND_FACTORIES: readonly CommandFactory[] = [
  createServeCommand,
  createStatusCommand,
  createSettingsCommand,
  createTeamCommand,
  createKeyCommand,
  createShareCommand,
  createLimitCommand,
  createPolicyCommand,
  createDrainCommand,
  createUndrainCommand,
  createExplainCommand,
  () => standInCommand as Subcommand
]
