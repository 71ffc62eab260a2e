/** Entry point of the command-line program. */
import './earlySignals.ts'
import { runProgram } from './commands/program.ts'

runProgram(process.argv.slice(2)).then(exitCode => { process.exitCode = exitCode }, error => {
  console.error(error)
  process.exitCode = 70
})
