/**
 * The program's entry point. The process ends when its command has: connections that are kept alive
 * to the platform must not hold it.
 */
import { ExitCode } from './commandFailure.ts'
import { runProgram } from './program.ts'

// A reader such as `head` may close the pipe before all is written.
process.stdout.on('error', error => {
  if ('code' in error && error.code === 'EPIPE') process.exit(ExitCode.Success)
  throw error
})

runProgram(process.argv).then(
  () => process.exit(),
  error => {
    process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`)
    process.exit(ExitCode.Failure)
  }
)
