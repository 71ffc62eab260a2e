/** `settings apply`: applies the settings of a file to the cluster. */
import type { Argv } from 'yargs'
import { diffSettings } from '../settings/diff.ts'
import { readSettingsFile } from '../settings/ini.ts'
import { withChange } from './commandBuilder.ts'
import type { ChangeArguments, CommandFactory } from './commandBuilder.ts'
import { readInputFile } from './commandContext.ts'
import { submitChange } from './submitChange.ts'

interface ApplyArguments extends ChangeArguments {
  readonly file: string
  readonly prune: boolean
}

export const createSettingsApplyCommand: CommandFactory = ({ context, run }) => ({
  command: 'apply <file>',
  describe: 'Show the changes of a settings file and apply them',
  builder: (parser: Argv) => withChange(parser)
    .positional('file', { type: 'string', demandOption: true, describe: 'INI file' })
    .option('prune', { type: 'boolean', default: false, describe: 'Also remove settings that are not in the file; keys of removed teams are withdrawn' })
    .example('$0 settings apply cell.ini --dry-run', 'Preview the changes')
    .example('$0 settings apply cell.ini', 'Apply, and wait for confirmation from all data centres'),
  handler: async (args: ApplyArguments) => await run(async () => {
    const tree = readSettingsFile(args.file, await readInputFile(args.file))
    return await submitChange(args, context, snapshot => {
      const { operations, kept } = diffSettings(tree, snapshot, { prune: args.prune })
      const notes = kept.length === 0 ? [] : ['Not in the file, left unchanged (--prune removes them):', ...kept.map(line => `  ${line}`)]
      return { operations, notes }
    })
  })
})
