/** `settings`: commands for settings files and the current settings. */
import type { Argv } from 'yargs'
import type { CommandFactory } from './commandBuilder.ts'
import { createSettingsApplyCommand } from './settingsApplyCommand.ts'
import { createSettingsCheckCommand } from './settingsCheckCommand.ts'
import { createSettingsExplainCommand } from './settingsExplainCommand.ts'
import { createSettingsReferenceCommand } from './settingsReferenceCommand.ts'

export const createSettingsCommand: CommandFactory = dependencies => ({
  command: 'settings',
  describe: 'Check, explain and apply cluster settings',
  builder: (parser: Argv) => parser
    .command(createSettingsCheckCommand(dependencies))
    .command(createSettingsExplainCommand(dependencies))
    .command(createSettingsApplyCommand(dependencies))
    .command(createSettingsReferenceCommand(dependencies))
    .demandCommand(1, 'Give a subcommand: check, explain, apply or reference.'),
  handler: () => {}
})
