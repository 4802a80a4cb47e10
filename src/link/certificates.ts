/** The key files of TLS between daemons. They are read again when they change, so that a certificate is renewed without a restart. */
import { readFile, stat } from 'node:fs/promises'
import { Err, Ok, type Result } from '../contract/index.ts'
import { LinkFailure } from './contract.ts'

/** Paths of PEM files. */
export interface LinkCertificateFiles {
  readonly key: string
  readonly certificate: string
  /** The certificates that other daemons' certificates must be signed by. */
  readonly authority: string
}

/** What the files hold. */
export interface LinkCertificates {
  readonly key: Buffer
  readonly cert: Buffer
  readonly ca: Buffer
  /** Changes when a file does. */
  readonly stamp: string
}

/**
 * Reads the key files.
 *
 * @returns a failure where a file can't be read
 * @example
 * const certificates = await readCertificates(files)
 */
export async function readCertificates (files: LinkCertificateFiles): Promise<Result<LinkCertificates, LinkFailure>> {
  try {
    const stamp = await stampOf(files)
    const [key, cert, ca] = await Promise.all([readFile(files.key), readFile(files.certificate), readFile(files.authority)])
    return Ok({ key, cert, ca, stamp })
  } catch (error) {
    return Err(new LinkFailure(`a key file can't be read: ${String(error)}`, false))
  }
}

/**
 * Reads the key files if one has changed.
 *
 * @returns undefined where none has changed or they can't be read just now
 * @example
 * const renewed = await readCertificatesIfChanged(files, certificates)
 */
export async function readCertificatesIfChanged (files: LinkCertificateFiles, known: LinkCertificates): Promise<LinkCertificates | undefined> {
  const stamp = await stampOf(files).catch(() => known.stamp)
  if (stamp === known.stamp) return undefined
  const renewed = await readCertificates(files)
  return renewed.ok ? renewed.val : undefined
}

async function stampOf (files: LinkCertificateFiles): Promise<string> {
  const stats = await Promise.all([files.key, files.certificate, files.authority].map(path => stat(path)))
  return stats.map(file => `${file.mtimeMs}/${file.size}`).join(' ')
}
