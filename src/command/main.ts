/**
 * The program's entry point. The process ends when its command has: connections that are kept alive
 * to the platform must not hold it.
 */
import { ExitCode } from './exit.ts'
import { runProgram } from './program.ts'

runProgram(process.argv).then(
  () => process.exit(),
  error => {
    process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`)
    process.exit(ExitCode.Failure)
  }
)
