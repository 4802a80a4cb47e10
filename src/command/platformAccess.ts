/** Access of the operators' commands to the platform's table service. */
import { readFile } from 'node:fs/promises'
import { Err, Ok, type Result, SystemClock } from '../contract/index.ts'
import { HttpTableService, type TableService } from '../store/index.ts'
import { checkText, localSchema, type LocalSettings } from '../settings/index.ts'
import { CommandFailure, ExitCode, faultsFailure } from './commandFailure.ts'

/** Options shared by the commands that access the table service. */
export interface PlatformOptions {
  readonly platform?: string
  readonly config?: string
}

const requestTimeoutMilliseconds = 5_000

/** Reads a text file; an unreadable file is a usage error. */
export async function readText (path: string): Promise<Result<string, CommandFailure>> {
  try {
    return Ok(await readFile(path, 'utf8'))
  } catch (error) {
    const reason = error instanceof Error && 'code' in error ? String(error.code) : String(error)
    return Err(new CommandFailure(`can't read ${path}: ${reason}`, ExitCode.Usage))
  }
}

/** Reads and validates a daemon's local settings. */
export async function readLocalSettings (path: string): Promise<Result<LocalSettings, CommandFailure>> {
  const text = await readText(path)
  if (text.err) return text
  const checked = checkText(text.val, path, localSchema)
  return checked.ok ? Ok(checked.val) : Err(faultsFailure(checked.val))
}

/** Creates a client for the table service given by `--platform`, the environment or `--config`, in this order. */
export async function tableServiceOf (options: PlatformOptions): Promise<Result<TableService, CommandFailure>> {
  const address = await addressOf(options)
  if (address.err) return address
  return Ok(new HttpTableService({ clock: new SystemClock(), address: address.val, timeoutMilliseconds: requestTimeoutMilliseconds }))
}

async function addressOf (options: PlatformOptions): Promise<Result<string, CommandFailure>> {
  const address = options.platform ?? process.env.LAVENDERDOOR_PLATFORM
  if (address !== undefined) return Ok(address)
  if (options.config === undefined) {
    return Err(new CommandFailure('no table service given: use --platform IP:port, --config FILE, or LAVENDERDOOR_PLATFORM', ExitCode.Usage))
  }
  const local = await readLocalSettings(options.config)
  return local.ok ? Ok(local.val.platform.table_service) : Err(local.val)
}
