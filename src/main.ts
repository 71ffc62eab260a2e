/** Entry point of the command-line program. */
import './earlySignals.ts'
import { createProcessContext } from './commands/commandContext.ts'

/** Arguments of the service on the users' platform, which restarts often and on small processors. */
const PLATFORM_SERVICE = ['serve', '--platform']
/** Time for which a stopped service may take to end by itself; what a call has left running must not keep it for longer. */
const EXIT_TIMEOUT_MS = 150

/** Starts the platform's service without the parser and the other commands, whose loading would delay its first call. */
async function run (args: readonly string[]): Promise<number> {
  if (args.length === PLATFORM_SERVICE.length && PLATFORM_SERVICE.every((argument, position) => args[position] === argument)) {
    const { runOnPlatform } = await import('./commands/serveOnPlatform.ts')
    const exitCode = await runOnPlatform(createProcessContext())
    setTimeout(() => process.exit(exitCode), EXIT_TIMEOUT_MS).unref()
    return exitCode
  }
  const { runProgram } = await import('./commands/program.ts')
  return await runProgram(args)
}

run(process.argv.slice(2)).then(exitCode => { process.exitCode = exitCode }, error => {
  console.error(error)
  process.exitCode = 70
})
