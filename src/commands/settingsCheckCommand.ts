/** `settings check`: validates a settings file or a desired state without connecting to the cluster. */
import type { Argv } from 'yargs'
import { checkDesiredState } from '../platform/desiredStateCheck.ts'
import { readSettingsFile } from '../settings/ini.ts'
import { readInstanceSettings } from '../settings/instanceSettings.ts'
import { listTeams } from '../settings/tree.ts'
import type { SettingsTree } from '../settings/tree.ts'
import type { CommandFactory } from './commandBuilder.ts'
import { CommandError, EXIT_CODES, readInputFile } from './commandContext.ts'
import type { CommandContext, ExitCode } from './commandContext.ts'
import { formatReport, formatReportAsJson, isAcceptable } from './desiredStateReport.ts'

interface DesiredStateArguments {
  readonly file: string
  readonly against?: string
  readonly strict?: boolean
  readonly format?: 'text' | 'json'
}

interface CheckArguments extends DesiredStateArguments {
  readonly instance: boolean
  readonly desiredState?: boolean
}

function summarize (file: string, tree: SettingsTree): string {
  const settings = Object.values(tree).reduce((sum, values) => sum + Object.keys(values).length, 0)
  return `${file} is valid: ${settings} settings in ${Object.keys(tree).length} branches, ${listTeams(tree).length} teams.`
}

async function runDesiredStateCheck ({ file, against, strict = false, format = 'text' }: DesiredStateArguments, context: CommandContext): Promise<ExitCode> {
  const bytes = await readInputFile(file)
  const report = checkDesiredState(bytes, against === undefined ? undefined : { file: against, bytes: await readInputFile(against) })
  const valid = isAcceptable(report, strict)
  context.print(format === 'json' ? formatReportAsJson(report, valid) : formatReport(file, report, valid))
  return valid ? EXIT_CODES.done : EXIT_CODES.rejected
}

function rejectUnsuitableOptions ({ instance, desiredState, against, strict, format }: CheckArguments): void {
  if (desiredState === true && instance) throw new CommandError('--desired-state and --instance exclude each other; give one of them', EXIT_CODES.usageError)
  const unsuitable = Object.entries({ against, strict, format }).find(([, value]) => value !== undefined)
  if (desiredState !== true && unsuitable !== undefined) throw new CommandError(`--${unsuitable[0]} is only for a desired state; add --desired-state`, EXIT_CODES.usageError)
}

export const createSettingsCheckCommand: CommandFactory = ({ context, run }) => ({
  command: 'check <file>',
  describe: 'Validate a settings file or a desired state without applying it',
  builder: (parser: Argv) => parser
    .positional('file', { type: 'string', demandOption: true, describe: 'INI file, or JSON file with --desired-state' })
    .option('instance', { type: 'boolean', default: false, describe: 'The file is for `serve --settings`, not the cluster' })
    .option('desired-state', { type: 'boolean', describe: 'The file is a desired state for the key op/config of the platform\'s store' })
    .option('against', { type: 'string', requiresArg: true, describe: 'With --desired-state: file with the version in force, to list the differences' })
    .option('strict', { type: 'boolean', describe: 'With --desired-state: treat warnings as errors' })
    .option('format', { choices: ['text', 'json'], requiresArg: true, describe: 'With --desired-state: format of the output (default: text)' })
    .example('$0 settings check cell.ini', 'List all errors with their lines')
    .example('$0 settings check next.json --desired-state --against now.json', 'List findings and differences before the state is written'),
  handler: async (args: CheckArguments) => await run(async () => {
    rejectUnsuitableOptions(args)
    const { file, instance, desiredState } = args
    if (desiredState === true) return await runDesiredStateCheck(args, context)
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
