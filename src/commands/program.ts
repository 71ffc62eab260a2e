/** Command-line parser of the program. */
import yargs from 'yargs'
import metadata from '../../package.json' with { type: 'json' }
import { BUILD_ID } from '../buildId.ts'
import { CommandError, createProcessContext, EXIT_CODES, EXIT_CODE_HELP, reportError } from './commandContext.ts'
import type { CommandContext, ExitCode } from './commandContext.ts'
import type { CommandDependencies } from './commandBuilder.ts'
import { COMMAND_FACTORIES } from './registry.ts'

/** Width of help texts, independent of the terminal. */
const HELP_WIDTH = 100

/** Replacements for yargs messages that are unclear to operators. */
const YARGS_MESSAGES = {
  'Not enough non-option arguments: got %s, need at least %s': {
    one: 'An argument is missing: got %s, need at least %s.',
    other: 'Arguments are missing: got %s, need at least %s.'
  }
}

/** Arguments that accept several values. */
const ARRAY_ARGUMENTS = ['_', 'names', 'settings', 'files']

/** Rejects an option that is given twice, which yargs would pass on as an array. */
function rejectRepeatedOptions (args: Readonly<Record<string, unknown>>): boolean {
  const repeated = Object.keys(args).find(name => Array.isArray(args[name]) && !ARRAY_ARGUMENTS.includes(name))
  if (repeated !== undefined) throw new CommandError(`--${repeated} is given twice; give it only once`, EXIT_CODES.usageError)
  return true
}

/** Rethrows errors of subcommands, and converts errors in the arguments into usage errors. */
function handleParseFailure (message: string, error: Error | undefined): never {
  if (error !== undefined && error !== null && error.name !== 'YError') throw error
  throw new CommandError(`${message ?? error?.message}\nAdd --help to show the usage of the command.`, EXIT_CODES.usageError)
}

/**
 * Runs the program with its arguments and returns the exit code.
 *
 * @example
 * process.exitCode = await runProgram(['--help'])
 */
export async function runProgram (args: readonly string[], context: CommandContext = createProcessContext()): Promise<number> {
  let exitCode: ExitCode = EXIT_CODES.done
  const dependencies: CommandDependencies = { context, run: async body => { exitCode = await body() } }
  const parser = yargs()
    .scriptName('agategauge')
    .locale('en')
    .updateStrings(YARGS_MESSAGES as unknown as Record<string, string>)
    .wrap(HELP_WIDTH)
    .usage('$0 <command>\n\nSchedules heterogeneous workloads on one shared cluster.')
    .epilogue(EXIT_CODE_HELP)
    .parserConfiguration({ 'parse-positional-numbers': false, 'parse-numbers': false })
    .strict()
    .demandCommand(1, 'Give a command.')
    .check(rejectRepeatedOptions)
    .version(`${metadata.version} (build ${BUILD_ID})`)
    .recommendCommands()
    .exitProcess(false)
    .fail(handleParseFailure)
  for (const createCommand of COMMAND_FACTORIES) parser.command(createCommand(dependencies))
  try {
    let output = ''
    await parser.parseAsync([...args], {}, (_error, _args, text) => { output = text })
    if (output !== '') context.print(output)
    return exitCode
  } catch (error) {
    return reportError(error, context)
  }
}
