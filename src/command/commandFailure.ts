/** How a command ends: what it prints on failure and the process's exit code. */
import { describeFault, type Fault } from '../settings/index.ts'

/** Exit codes of every command. */
export const ExitCode = {
  Success: 0,
  Failure: 1,
  /** The command line or a file of settings is wrong. */
  Usage: 2
} as const
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]

/** An outcome of a command that is not success. */
export class CommandFailure {
  readonly message: string
  readonly code: ExitCode

  constructor (message: string, code: ExitCode = ExitCode.Failure) {
    this.message = message
    this.code = code
  }
}

/** A failure that lists every fault of some settings. */
export function faultsFailure (faults: readonly Fault[]): CommandFailure {
  return new CommandFailure(faults.map(describeFault).join('\n'), ExitCode.Usage)
}

/** A failure that names why a settings command was not carried out. */
export function unavailableFailure (mayHaveApplied: boolean): CommandFailure {
  const consequence = mayHaveApplied ? '; the change may have been accepted: look with "settings history"' : '; nothing was changed'
  return new CommandFailure(`the platform's table service did not answer${consequence}`)
}
