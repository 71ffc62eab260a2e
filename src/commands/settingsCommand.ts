/** `settings`: works with files and the settings in force. */
import type { Argv } from 'yargs'
import type { CommandFactory } from './commandBuilder.ts'
import { createSettingsApplyCommand } from './settingsApplyCommand.ts'
import { createSettingsCheckCommand } from './settingsCheckCommand.ts'
import { createSettingsExplainCommand } from './settingsExplainCommand.ts'
import { createSettingsReferenceCommand } from './settingsReferenceCommand.ts'

export const createSettingsCommand: CommandFactory = dependencies => ({
  command: 'settings',
  describe: 'Check, explain and apply settings of the cluster',
  builder: (parser: Argv) => parser
    .command(createSettingsCheckCommand(dependencies))
    .command(createSettingsExplainCommand(dependencies))
    .command(createSettingsApplyCommand(dependencies))
    .command(createSettingsReferenceCommand(dependencies))
    .demandCommand(1, 'Name one of: check, explain, apply, reference.'),
  handler: () => {}
})
