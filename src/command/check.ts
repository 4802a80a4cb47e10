/** `lavenderdoor check`: validates settings files offline, each on its own and all teams' subtrees together. */
import { basename } from 'node:path'
import { Err, Ok, type Result } from '../contract/index.ts'
import { checkText, type Fault, localSchema, SettingsView, type Subtree, subtreeSchema } from '../settings/index.ts'
import { type CommandFailure, faultsFailure } from './commandFailure.ts'
import { printLine } from './output.ts'
import { readText } from './platformAccess.ts'

export interface CheckOptions {
  readonly local?: string
}

/** Validates team files and, with `--local`, a daemon's local settings file. */
export async function check (files: readonly string[], options: CheckOptions): Promise<Result<void, CommandFailure>> {
  const faults: Fault[] = []
  const subtrees = new Map<string, Subtree>()
  for (const file of files) {
    const text = await readText(file)
    if (text.err) return text
    const checked = checkText(text.val, file, subtreeSchema)
    if (checked.ok) subtrees.set(basename(file, '.toml'), checked.val)
    else faults.push(...checked.val)
  }
  if (options.local !== undefined) {
    const text = await readText(options.local)
    if (text.err) return text
    const checked = checkText(text.val, options.local, localSchema)
    if (checked.err) faults.push(...checked.val)
  }
  if (subtrees.size === files.length) {
    const view = SettingsView.of(0, subtrees)
    if (view.err) faults.push(...view.val)
  }
  if (faults.length > 0) return Err(faultsFailure(faults))
  printLine(`${files.length + (options.local === undefined ? 0 : 1)} file(s) checked, no fault`)
  return Ok(undefined)
}
