/** Exit codes and failures of commands. */
import { describeFault, type Fault } from '../settings/index.ts'

/** Exit codes shared by all commands. */
export const ExitCode = {
  Success: 0,
  Failure: 1,
  /** The command line or a settings file is invalid. */
  Usage: 2
} as const
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]

/** The message and exit code of a failed command. */
export class CommandFailure {
  readonly message: string
  readonly code: ExitCode

  constructor (message: string, code: ExitCode = ExitCode.Failure) {
    this.message = message
    this.code = code
  }
}

/** Lists all faults of invalid settings. */
export function faultsFailure (faults: readonly Fault[]): CommandFailure {
  return new CommandFailure(faults.map(describeFault).join('\n'), ExitCode.Usage)
}

/** Reports that the table service did not answer, and whether the command may still have taken effect. */
export function unavailableFailure (mayHaveApplied: boolean): CommandFailure {
  const consequence = mayHaveApplied ? '; the change may have been accepted: check with "settings history"' : '; nothing was changed'
  return new CommandFailure(`the platform's table service did not answer${consequence}`)
}
