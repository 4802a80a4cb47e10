/** `lavenderdoor version …`: rolls out and withdraws versions by changing the settings. */
import { Err, modelOf, Ok, type Result, type VersionName, VersionState } from '../contract/index.ts'
import type { SettingsRejection, SettingsRepository } from '../distribution/index.ts'
import { RollOutState, type Subtree } from '../settings/index.ts'
import { CommandFailure, ExitCode } from './commandFailure.ts'
import { printJson, printLine, printTable, type TableRow } from './output.ts'
import { authorOf, rejectionFailure, repositoryOf, type SettingsOptions } from './settingsCommands.ts'
import { fetchDaemonStatus } from './statusCommand.ts'

export interface VersionOptions extends SettingsOptions {
  readonly team: string
  readonly share?: string
  readonly daemon?: readonly string[]
}

type SubtreeEdit = (subtree: Subtree) => Result<Subtree, CommandFailure>

const maximumConflictAttempts = 5

/** Starts or resumes the roll-out of a model from one version to another. */
export async function versionRollOut (model: string, from: string, to: string, options: VersionOptions): Promise<Result<void, CommandFailure>> {
  return await editSubtree(options, subtree => {
    const settings = subtree.models[model]
    if (settings === undefined) return Err(unknownNameFailure(model, options.team))
    const steps = settings.roll_out?.steps ?? [0.01, 0.05, 0.25, 1]
    const share = options.share === undefined ? steps[0] ?? 0 : Number(options.share)
    const versions = settings.versions[to] === undefined ? { ...settings.versions, [to]: { state: VersionState.Candidate } } : settings.versions
    const rollOut = { from, to, share, steps, state: RollOutState.Running }
    return Ok({ ...subtree, models: { ...subtree.models, [model]: { ...settings, versions, roll_out: rollOut } } })
  })
}

/** Withdraws a version, so that it receives no new requests. */
export async function versionWithdraw (version: string, options: VersionOptions): Promise<Result<void, CommandFailure>> {
  const model = modelOf(version as VersionName)
  const name = version.slice(model.length + 1)
  return await editSubtree(options, subtree => {
    const settings = subtree.models[model]
    if (settings?.versions[name] === undefined) return Err(unknownNameFailure(version, options.team))
    const versions = { ...settings.versions, [name]: { state: VersionState.Withdrawn } }
    return Ok({ ...subtree, models: { ...subtree.models, [model]: { ...settings, versions } } })
  })
}

/** Prints all versions of a team with their roll-outs, and the revision in force at each given daemon. */
export async function versionStatus (options: VersionOptions): Promise<Result<void, CommandFailure>> {
  const repository = await repositoryOf(options)
  if (repository.err) return repository
  const read = await repository.val.read(options.team)
  if (read.err) return Err(rejectionFailure(read.val))
  const versions = Object.entries(read.val.subtree?.models ?? {}).flatMap(([model, settings]) => versionRows(model, settings))
  const daemons = await Promise.all((options.daemon ?? []).map(daemonRow(read.val.revision)))
  if (options.json) {
    printJson({ revision: read.val.revision, versions, daemons })
    return Ok(undefined)
  }
  printLine(`team ${options.team} at revision ${read.val.revision}`)
  printTable(versions)
  if (daemons.length > 0) printTable(daemons)
  return Ok(undefined)
}

function versionRows (model: string, settings: Subtree['models'][string]): TableRow[] {
  const rollOut = settings.roll_out
  return Object.entries(settings.versions).map(([version, { state }]) => ({
    version: `${model}@${version}`,
    state,
    roll_out: rollOut !== undefined && rollOut.to === version ? rollOut.state : '',
    share: rollOut !== undefined && rollOut.to === version ? rollOut.share : ''
  }))
}

function daemonRow (revision: number): (address: string) => Promise<TableRow> {
  return async address => {
    const status = await fetchDaemonStatus(address)
    if (status.err) return { daemon: address, revision: '', in_force: 'not known: no answer' }
    const { settings } = status.val
    return { daemon: address, revision: settings.revision, in_force: settings.revision >= revision ? 'yes' : settings.lease === 'lapsed' ? 'no: cut off' : 'not yet' }
  }
}

/** Reads, edits and writes a team's subtree; starts again if there was a conflicting change. */
async function editSubtree (options: VersionOptions, change: SubtreeEdit): Promise<Result<void, CommandFailure>> {
  const repository = await repositoryOf(options)
  if (repository.err) return repository
  for (let attempt = 0; attempt < maximumConflictAttempts; attempt++) {
    const written = await editOnce(repository.val, options, change)
    if (written.ok) {
      if (options.json) printJson({ team: options.team, revision: written.val })
      else printLine(`accepted as revision ${written.val}`)
      return Ok(undefined)
    }
    if (written.val instanceof CommandFailure) return Err(written.val)
    if (written.val.reason !== 'conflict') return Err(rejectionFailure(written.val))
  }
  return Err(new CommandFailure('the subtree was changed concurrently on every attempt; nothing was changed: try again'))
}

async function editOnce (repository: SettingsRepository, options: VersionOptions, change: SubtreeEdit): Promise<Result<number, SettingsRejection | CommandFailure>> {
  const read = await repository.read(options.team)
  if (read.err) return read
  if (read.val.subtree === undefined) return Err(new CommandFailure(`team ${options.team} has no settings`, ExitCode.Usage))
  const changed = change(read.val.subtree)
  if (changed.err) return changed
  return await repository.put(options.team, changed.val, { expected: read.val.revision, author: authorOf(options) })
}

function unknownNameFailure (name: string, team: string): CommandFailure {
  return new CommandFailure(`team ${team} has no ${name}`, ExitCode.Usage)
}
