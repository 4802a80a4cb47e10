/**
 * Advances or halts a roll-out in the settings. Each write is conditional on the team's revision and on
 * the step it was decided at, so that concurrent stewards and operators take each step only once. An
 * unfinished roll-out is a state in the settings that any steward can continue from.
 */
import { Err, Ok, type Result } from '../contract/index.ts'
import type { SettingsRejection, SettingsRepository } from '../distribution/index.ts'
import { RollOutState, type RollOutSettings, type RollOutView, type Subtree } from '../settings/index.ts'

/** Result of a roll-out write; `already_decided` means that the roll-out had left the step before the write. */
export type RollOutWriteOutcome = 'written' | 'already_decided'

/**
 * Advances a roll-out to its next step, or completes it after the last one.
 *
 * @example
 * const written = await advanceRollOut(repository, readRollOut, 'entry-1')
 */
export async function advanceRollOut (repository: SettingsRepository, rollOut: RollOutView, author: string): Promise<Result<RollOutWriteOutcome, SettingsRejection>> {
  const next = rollOut.settings.steps.find(share => share > rollOut.settings.share)
  const changed = next === undefined
    ? { ...rollOut.settings, share: 1, state: RollOutState.Done }
    : { ...rollOut.settings, share: next }
  return await writeRollOut(repository, rollOut, changed, author)
}

/**
 * Halts a roll-out: new sessions use the old version from then on.
 *
 * @example
 * const written = await haltRollOut(repository, readRollOut, 'entry-1')
 */
export async function haltRollOut (repository: SettingsRepository, rollOut: RollOutView, author: string): Promise<Result<RollOutWriteOutcome, SettingsRejection>> {
  return await writeRollOut(repository, rollOut, { ...rollOut.settings, state: RollOutState.Halted }, author)
}

async function writeRollOut (repository: SettingsRepository, rollOut: RollOutView, changed: RollOutSettings, author: string): Promise<Result<RollOutWriteOutcome, SettingsRejection>> {
  const read = await repository.read(rollOut.team)
  if (read.err) return read
  const { revision, subtree } = read.val
  const model = subtree?.models[rollOut.model]
  if (subtree === undefined || model?.roll_out === undefined || !isSameStep(model.roll_out, rollOut.settings)) return Ok('already_decided')
  const next: Subtree = { ...subtree, models: { ...subtree.models, [rollOut.model]: { ...model, roll_out: changed } } }
  const put = await repository.put(rollOut.team, next, { expected: revision, author })
  return put.ok ? Ok('written') : Err(put.val)
}

function isSameStep (left: RollOutSettings, right: RollOutSettings): boolean {
  return left.from === right.from && left.to === right.to && left.share === right.share && left.state === right.state
}
