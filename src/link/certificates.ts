/** The TLS certificate and key files for links. They are reloaded when they change, so that a certificate is renewed without a restart. */
import { readFile, stat } from 'node:fs/promises'
import { Err, Ok, type Result } from '../contract/index.ts'
import { LinkFailure } from './contract.ts'

/** Paths of PEM files. */
export interface LinkCertificateFiles {
  readonly key: string
  readonly certificate: string
  /** The certificate authorities that must sign other daemons' certificates. */
  readonly authority: string
}

export interface LinkCertificates {
  readonly key: Buffer
  readonly cert: Buffer
  readonly ca: Buffer
  /** Changes when any of the files changes. */
  readonly stamp: string
}

/**
 * Reads the key files.
 *
 * @returns a failure if a file can't be read
 * @example
 * const certificates = await readCertificates(files)
 */
export async function readCertificates (files: LinkCertificateFiles): Promise<Result<LinkCertificates, LinkFailure>> {
  try {
    const stamp = await stampOf(files)
    const [key, cert, ca] = await Promise.all([readFile(files.key), readFile(files.certificate), readFile(files.authority)])
    return Ok({ key, cert, ca, stamp })
  } catch (error) {
    return Err(new LinkFailure(`can't read the TLS files of the link: ${String(error)}`, false))
  }
}

/**
 * Reads the key files if one has changed.
 *
 * @returns undefined if none has changed or they can't currently be read
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
