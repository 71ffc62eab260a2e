/** The command line: every subcommand is registered here. */
import yargs from 'yargs'

/**
 * Runs the program with its arguments and returns the exit code.
 *
 * @example
 * process.exitCode = await runProgram(['--help'])
 */
export async function runProgram (args: readonly string[]): Promise<number> {
  await yargs([...args]).scriptName('agategauge').strict().demandCommand(1).parseAsync()
  return 0
}
