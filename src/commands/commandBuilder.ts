/** Types of subcommands, and the options that several of them share. */
import type { Argv } from 'yargs'
import { EXIT_CODES, CommandError } from './commandContext.ts'
import type { CommandContext, ExitCode } from './commandContext.ts'
import { parseQuantity } from '../settings/units.ts'

/**
 * A yargs `CommandModule` with untyped arguments. yargs validates the arguments against the builder's
 * declarations (strict mode) before it calls the handler.
 */
export interface Subcommand {
  readonly command: string
  readonly describe: string
  readonly builder: (parser: Argv) => Argv<any>
  readonly handler: (args: any) => void | Promise<void>
}

/** Runs the body of a subcommand and records its exit code. */
export type RunBody = (body: () => Promise<ExitCode>) => Promise<void>

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
  return parser.option('json', { type: 'boolean', default: false, describe: 'Print the output as JSON' })
}

export function withConnection<Args> (parser: Argv<Args>): Argv<Args & ConnectionArguments> {
  return withOutput(parser)
    .option('address', { type: 'string', requiresArg: true, describe: 'Operator address of any instance, HOST:PORT (or AGATEGAUGE_OPERATOR)' })
    .option('token', { type: 'string', requiresArg: true, describe: 'Operator token (or AGATEGAUGE_TOKEN, which keeps it out of the process list)' })
}

export function withChange<Args> (parser: Argv<Args>): Argv<Args & ChangeArguments> {
  return withConnection(parser)
    .option('operator', { type: 'string', requiresArg: true, describe: 'Name recorded as the author of the change (default: your user name)' })
    .option('wait', { type: 'string', requiresArg: true, default: DEFAULT_WAIT, describe: 'Time to wait for confirmation by all data centres' })
    .option('dry-run', { type: 'boolean', default: false, describe: 'Show the changes without applying them' }) as unknown as Argv<Args & ChangeArguments>
}

/** Parses the value of `--wait` into milliseconds. */
export function readWait (text: string): number {
  const wait = parseQuantity(text, 'duration')
  if (!('value' in wait)) throw new CommandError(`--wait: ${wait.problem}; ${wait.hint}`, EXIT_CODES.usageError)
  if (wait.value > MAX_WAIT_MS) throw new CommandError('--wait: the maximum is 1 min; use 0 s to 1 min', EXIT_CODES.usageError)
  return wait.value
}
