/** `settings check`: validates a settings file without connecting to the cluster. */
import type { Argv } from 'yargs'
import { readSettingsFile } from '../settings/ini.ts'
import { readInstanceSettings } from '../settings/instanceSettings.ts'
import { listTeams } from '../settings/tree.ts'
import type { SettingsTree } from '../settings/tree.ts'
import type { CommandFactory } from './commandBuilder.ts'
import { EXIT_CODES, readInputFile } from './commandContext.ts'

interface CheckArguments {
  readonly file: string
  readonly instance: boolean
}

function summarize (file: string, tree: SettingsTree): string {
  const settings = Object.values(tree).reduce((sum, values) => sum + Object.keys(values).length, 0)
  return `${file} is valid: ${settings} settings in ${Object.keys(tree).length} branches, ${listTeams(tree).length} teams.`
}

export const createSettingsCheckCommand: CommandFactory = ({ context, run }) => ({
  command: 'check <file>',
  describe: 'Validate a settings file without applying it',
  builder: (parser: Argv) => parser
    .positional('file', { type: 'string', demandOption: true, describe: 'INI file' })
    .option('instance', { type: 'boolean', default: false, describe: 'The file is for `serve --settings`, not for the cluster' })
    .example('$0 settings check cell.ini', 'List all errors with their lines'),
  handler: async ({ file, instance }: CheckArguments) => await run(async () => {
    const bytes = await readInputFile(file)
    if (instance) {
      const settings = readInstanceSettings(file, bytes)
      context.print(`${file} is valid: instance ${settings.name} in ${settings.dataCentre}, region ${settings.region}.`)
    } else {
      context.print(summarize(file, readSettingsFile(file, bytes)))
    }
    return EXIT_CODES.done
  })
})
