/** `lavenderdoor request show` and `lavenderdoor bill verify`: inspect records in the store. */
import { verifyBills } from '../billing/index.ts'
import { claimKeyOf, parseClaimRow, claimTableName } from '../claim/index.ts'
import { Err, Ok, type Result } from '../contract/index.ts'
import { CommandFailure, unavailableFailure } from './commandFailure.ts'
import { printJson, printLine } from './output.ts'
import { type PlatformOptions, tableServiceOf } from './platformAccess.ts'

export interface RecordOptions extends PlatformOptions {
  readonly json?: boolean
}

/** Prints the claim of a request that is not idempotent. */
export async function requestShow (organisation: string, key: string, options: RecordOptions): Promise<Result<void, CommandFailure>> {
  const table = await tableServiceOf(options)
  if (table.err) return table
  const row = await table.val.read(claimTableName, claimKeyOf({ organisation, idempotencyKey: key }))
  if (row.err) return Err(unavailableFailure(false))
  const claim = parseClaimRow(row.val?.value)
  if (claim === undefined) return Err(new CommandFailure(`organisation ${organisation} has no request with the key ${key}`))
  if (options.json) printJson(claim)
  else for (const [name, value] of Object.entries(claim)) printLine(`${name}: ${typeof value === 'object' ? JSON.stringify(value) : String(value)}`)
  return Ok(undefined)
}

/** Verifies that no bill entry is duplicated, missing or unreadable. */
export async function billVerify (options: RecordOptions): Promise<Result<void, CommandFailure>> {
  const table = await tableServiceOf(options)
  if (table.err) return table
  const report = await verifyBills(table.val)
  if (report.err) return Err(unavailableFailure(false))
  const { doubled, missing, unreadable, ...totals } = report.val
  if (options.json) printJson(report.val)
  else for (const [name, value] of Object.entries(totals)) printLine(`${name}: ${String(value)}`)
  const faults = [
    ...doubled.map(entry => `entry ${entry} is in two batches`),
    ...missing.map(entry => `entry ${entry} is covered by a watermark but is in no batch`),
    ...unreadable.map(row => `row ${row} is unreadable`)
  ]
  return faults.length === 0 ? Ok(undefined) : Err(new CommandFailure(faults.join('\n')))
}
