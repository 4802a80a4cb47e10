/**
 * Entry point of the program. The process exits as soon as its command has ended, because keep-alive
 * connections to the platform would otherwise keep it running.
 */
import { ExitCode } from './commandFailure.ts'
import { runProgram } from './program.ts'

// A reader such as `head` may close the pipe before all output is written.
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
