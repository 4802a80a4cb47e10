/** Reads the key files that the local settings name. */
import { readFile } from 'node:fs/promises'
import { Err, Ok, type Result } from '../contract/index.ts'
import type { LocalSettings } from '../settings/index.ts'

/** PEM texts for the callers' server. */
export interface TlsCredentials {
  readonly key: string
  readonly cert: string
}

/**
 * The callers' key and certificate; undefined where the settings name none.
 *
 * @returns a sentence that names the file that can't be read
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
    return Err(`a key file of callers.tls can't be read: ${error instanceof Error ? error.message : String(error)}`)
  }
}
