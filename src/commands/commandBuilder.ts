/** Options that several subcommands share. */
import type { Argv } from 'yargs'
import { EXIT_CODES, CommandError } from './commandContext.ts'
import type { CommandContext, ExitCode } from './commandContext.ts'
import { parseQuantity } from '../settings/units.ts'

/**
 * A `CommandModule` of yargs whose arguments are as its builder declares them; yargs checks them
 * strictly before it calls the handler.
 */
export interface Subcommand {
  readonly command: string
  readonly describe: string
  readonly builder: (parser: Argv) => Argv<any>
  readonly handler: (args: any) => void | Promise<void>
}

/** Runs the body of a subcommand and keeps its exit code. */
export type RunBody = (body: () => Promise<ExitCode>) => Promise<void>

/** What the factory of a subcommand gets. */
export interface CommandDependencies {
  readonly context: CommandContext
  readonly run: RunBody
}

export type CommandFactory = (dependencies: CommandDependencies) => Subcommand

export interface OutputArguments {
  readonly json: boolean
}

export interface ConnectionArguments extends OutputArguments {
  readonly address?: string
  readonly token?: string
}

export interface ChangeArguments extends ConnectionArguments {
  readonly operator?: string
  readonly wait: string
  readonly dryRun: boolean
}

const DEFAULT_WAIT = '10 s'
const MAX_WAIT_MS = 60_000

export function withOutput<Args> (parser: Argv<Args>): Argv<Args & OutputArguments> {
  return parser.option('json', { type: 'boolean', default: false, describe: 'Print the answer as JSON' })
}

export function withConnection<Args> (parser: Argv<Args>): Argv<Args & ConnectionArguments> {
  return withOutput(parser)
    .option('address', { type: 'string', requiresArg: true, describe: 'Operator address of any instance, HOST:PORT (or AGATEGAUGE_OPERATOR)' })
    .option('token', { type: 'string', requiresArg: true, describe: 'Operators\' token (or AGATEGAUGE_TOKEN, which keeps it out of the list of processes)' })
}

export function withChange<Args> (parser: Argv<Args>): Argv<Args & ChangeArguments> {
  return withConnection(parser)
    .option('operator', { type: 'string', requiresArg: true, describe: 'Name under which the change is kept (your user name if left out)' })
    .option('wait', { type: 'string', requiresArg: true, default: DEFAULT_WAIT, describe: 'How long to wait until every data centre has confirmed' })
    .option('dry-run', { type: 'boolean', default: false, describe: 'Show what would change and change nothing' }) as unknown as Argv<Args & ChangeArguments>
}

/** Reads the value of `--wait`. */
export function readWait (text: string): number {
  const wait = parseQuantity(text, 'duration')
  if (!('value' in wait)) throw new CommandError(`--wait: ${wait.problem}; ${wait.right}`, EXIT_CODES.usageError)
  if (wait.value > MAX_WAIT_MS) throw new CommandError('--wait: the longest wait is 1 min; use 0 s to 1 min', EXIT_CODES.usageError)
  return wait.value
}
