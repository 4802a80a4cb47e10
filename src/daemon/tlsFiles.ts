/** Reads the TLS files configured in the local settings. */
import { readFile } from 'node:fs/promises'
import { Err, Ok, type Result } from '../contract/index.ts'
import type { LocalSettings } from '../settings/index.ts'

/** Private key and certificate chain of the callers' server, in PEM format. */
export interface TlsCredentials {
  readonly key: string
  readonly cert: string
}

/**
 * Reads the key and certificate for callers.
 *
 * @returns undefined if the settings configure none, or a message with the file that can't be read
 * @example
 * const tls = await readTlsFiles(local)
 */
export async function readTlsFiles (local: LocalSettings): Promise<Result<TlsCredentials | undefined, string>> {
  const files = local.callers.tls
  if (files === undefined) return Ok(undefined)
  try {
    const [key, cert] = await Promise.all([readFile(files.key, 'utf8'), readFile(files.certificate, 'utf8')])
    return Ok({ key, cert })
  } catch (error) {
    return Err(`can't read a TLS file of callers.tls: ${error instanceof Error ? error.message : String(error)}`)
  }
}
