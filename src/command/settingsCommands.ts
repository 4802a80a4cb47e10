/** `lavenderdoor settings …`: reads and changes the operators' settings in the table service. */
import { userInfo } from 'node:os'
import { stringify } from 'smol-toml'
import { Err, Ok, type Result } from '../contract/index.ts'
import { type SettingsChange, type SettingsRejection, type SettingsRepository, TableSettingsRepository } from '../distribution/index.ts'
import { checkText, type Subtree, subtreeSchema } from '../settings/index.ts'
import { CommandFailure, ExitCode, faultsFailure, unavailableFailure } from './commandFailure.ts'
import { lineDifference } from './lineDifference.ts'
import { printJson, printLine, printTable } from './output.ts'
import { type PlatformOptions, readText, tableServiceOf } from './platformAccess.ts'
import { SystemClock, SystemRandomness } from '../contract/index.ts'

export interface SettingsOptions extends PlatformOptions {
  readonly json?: boolean
  readonly expected?: string
  readonly author?: string
}

const revisionPattern = /^# revision (\d+)/m
const historyPageSize = 500

/** Creates a settings repository on the table service given by the options. */
export async function repositoryOf (options: PlatformOptions): Promise<Result<SettingsRepository, CommandFailure>> {
  const table = await tableServiceOf(options)
  if (table.err) return table
  return Ok(new TableSettingsRepository({ table: table.val, clock: new SystemClock(), randomness: new SystemRandomness() }))
}

/** Prints a team's subtree, with its revision as the first line. */
export async function settingsGet (team: string, options: SettingsOptions): Promise<Result<void, CommandFailure>> {
  const found = await readSubtree(team, options)
  if (found.err) return found
  const { revision, subtree } = found.val
  if (options.json) printJson({ team, revision, subtree })
  else printLine(`# revision ${revision}\n${subtree === undefined ? '' : tomlOf(subtree)}`.trimEnd())
  return Ok(undefined)
}

/** Replaces a team's subtree if it is still at the expected revision. */
export async function settingsPut (team: string, file: string, options: SettingsOptions): Promise<Result<void, CommandFailure>> {
  const repository = await repositoryOf(options)
  if (repository.err) return repository
  const text = await readText(file)
  if (text.err) return text
  const expected = options.expected ?? revisionPattern.exec(text.val)?.[1]
  if (expected === undefined || !/^\d+$/.test(expected)) {
    return Err(new CommandFailure('no base revision given: use --expected N, or the "# revision N" line that "settings get" prints (0 for a new team)', ExitCode.Usage))
  }
  const checked = checkText(text.val, file, subtreeSchema)
  if (checked.err) return Err(faultsFailure(checked.val))
  const written = await repository.val.put(team, checked.val, { expected: Number(expected), author: authorOf(options) })
  if (written.err) return Err(rejectionFailure(written.val, checked.val))
  if (options.json) printJson({ team, revision: written.val })
  else printLine(`accepted as revision ${written.val}`)
  return Ok(undefined)
}

/** Prints how a file differs from a team's subtree. */
export async function settingsDiff (team: string, file: string, options: SettingsOptions): Promise<Result<void, CommandFailure>> {
  const text = await readText(file)
  if (text.err) return text
  const checked = checkText(text.val, file, subtreeSchema)
  if (checked.err) return Err(faultsFailure(checked.val))
  const found = await readSubtree(team, options)
  if (found.err) return found
  const current = found.val.subtree === undefined ? '' : tomlOf(found.val.subtree)
  for (const line of lineDifference(current, tomlOf(checked.val))) printLine(line)
  return Ok(undefined)
}

/** Prints the accepted changes, oldest first. */
export async function settingsHistory (team: string | undefined, options: SettingsOptions): Promise<Result<void, CommandFailure>> {
  const repository = await repositoryOf(options)
  if (repository.err) return repository
  const changes: SettingsChange[] = []
  for (let after = 0; ;) {
    const page = await repository.val.changesAfter(after, historyPageSize)
    if (page.err) return Err(rejectionFailure(page.val))
    changes.push(...page.val)
    const last = page.val.at(-1)
    if (last === undefined || page.val.length < historyPageSize) break
    after = last.revision
  }
  const matching = changes.filter(change => team === undefined || change.team === team)
  if (options.json) printJson(matching)
  else printTable(matching.map(change => ({ revision: change.revision, team: change.team, author: change.author, at: new Date(change.at).toISOString() })))
  return Ok(undefined)
}

/** The author of a change; the user of the process by default. */
export function authorOf (options: SettingsOptions): string {
  return options.author ?? userInfo().username
}

/** Converts a rejection to a failure; for a conflict, shows how the current subtree differs from the proposed one. */
export function rejectionFailure (rejection: SettingsRejection, proposed?: Subtree): CommandFailure {
  if (rejection.reason === 'faults') return faultsFailure(rejection.faults)
  if (rejection.reason === 'unavailable') return unavailableFailure(rejection.mayHaveApplied)
  const { conflict } = rejection
  const difference = proposed === undefined ? [] : lineDifference(tomlOf(conflict.current), tomlOf(proposed))
  return new CommandFailure([`conflicting change: the subtree is already at revision ${conflict.revision}; nothing was changed`, ...difference].join('\n'))
}

async function readSubtree (team: string, options: SettingsOptions): Promise<Result<{ readonly revision: number, readonly subtree: Subtree | undefined }, CommandFailure>> {
  const repository = await repositoryOf(options)
  if (repository.err) return repository
  const found = await repository.val.read(team)
  return found.ok ? Ok(found.val) : Err(rejectionFailure(found.val))
}

function tomlOf (subtree: Subtree): string {
  return stringify(JSON.parse(JSON.stringify(subtree)))
}
