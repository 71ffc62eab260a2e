/** Process interfaces that subcommands use, which tests replace, and error reporting. */
import { randomBytes, randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { userInfo } from 'node:os'
import { BaseError, InputError } from '../model/errors.ts'

/** Exit codes of the program, documented in the help text. */
export const EXIT_CODES = { done: 0, rejected: 1, usageError: 2, unconfirmed: 3, unreachable: 4, internal: 70 } as const

export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]

export const EXIT_CODE_HELP = 'Exit codes: 0 done, 1 rejected or conflict, 2 usage error, 3 accepted but not yet confirmed by all data centres, 4 no instance or store reachable, 70 internal error.'

/** Terminates a command with an error message and an exit code. */
export class CommandError extends Error {
  readonly exitCode: ExitCode

  constructor (message: string, exitCode: ExitCode, options?: ErrorOptions) {
    super(message, options)
    this.name = 'CommandError'
    this.exitCode = exitCode
  }
}

export interface CommandContext {
  readonly print: (text: string) => void
  readonly printError: (text: string) => void
  readonly environment: Readonly<Record<string, string | undefined>>
  readonly operator: string
  readonly createChangeId: () => string
  readonly createRandomBytes: (byteCount: number) => Buffer
}

function readUserName (): string {
  try {
    return userInfo().username
  } catch {
    return 'unknown'
  }
}

/** Ignores EPIPE, which occurs when a reader such as `head` closes the pipe early. */
function ignoreClosedPipe (error: Error): void {
  if (errorCode(error) !== 'EPIPE') throw error
}

/** Creates the context of the running process. */
export function createProcessContext (): CommandContext {
  process.stdout.on('error', ignoreClosedPipe)
  return {
    print: text => { process.stdout.write(`${text}\n`) },
    printError: text => { process.stderr.write(`${text}\n`) },
    environment: process.env,
    operator: readUserName(),
    createChangeId: randomUUID,
    createRandomBytes: randomBytes
  }
}

/** Reads a file given on the command line. */
export async function readInputFile (file: string): Promise<Uint8Array> {
  try {
    return await readFile(file)
  } catch (cause) {
    throw new CommandError(`can't read ${file} (${errorCode(cause)}); check the path and the permissions`, EXIT_CODES.usageError, { cause })
  }
}

/** Returns the system error code, such as ENOENT, or the name of the error's class. */
export function errorCode (error: unknown): string {
  if (!(error instanceof Error)) return 'unknown error'
  return 'code' in error && typeof error.code === 'string' ? error.code : error.name
}

/**
 * Prints an error and returns the exit code. A stack trace is printed only for internal errors.
 */
export function reportError (error: unknown, context: CommandContext): ExitCode {
  if (error instanceof CommandError) {
    context.printError(error.message)
    return error.exitCode
  }
  if (error instanceof InputError) {
    context.printError(error.message)
    return EXIT_CODES.rejected
  }
  const normalized = BaseError.normalize(error)
  context.printError(`internal error, please report it:\n${normalized.stack ?? normalized.message}`)
  return EXIT_CODES.internal
}
