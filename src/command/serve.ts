/** `lavenderdoor serve`: runs a daemon until a stop signal, then finishes running requests. */
import { watch } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { Err, Ok, type Result } from '../contract/index.ts'
import { Daemon, readTlsFiles } from '../daemon/index.ts'
import { CommandFailure } from './commandFailure.ts'
import { readLocalSettings } from './platformAccess.ts'
import { waitForStopSignal } from './standInCommand.ts'

export interface ServeOptions {
  readonly config: string
}

/** Runs a daemon until SIGTERM or SIGINT. */
export async function serve (options: ServeOptions): Promise<Result<void, CommandFailure>> {
  const local = await readLocalSettings(options.config)
  if (local.err) return local
  const tls = await readTlsFiles(local.val)
  if (tls.err) return Err(new CommandFailure(tls.val))
  const daemon = await Daemon.compose(local.val, tls.val)
  const started = await daemon.start()
  if (started.err) return Err(new CommandFailure(started.val))
  const watchers = reloadCertificatesOnChange(local.val.callers.tls, daemon)
  await waitForStopSignal()
  for (const watcher of watchers) watcher.close()
  await daemon.stop()
  return Ok(undefined)
}

/** Reloads the callers' TLS files when they change. */
function reloadCertificatesOnChange (files: { readonly key: string, readonly certificate: string } | undefined, daemon: Daemon) {
  if (files === undefined) return []
  const reload = async () => {
    const [key, cert] = await Promise.all([readFile(files.key, 'utf8'), readFile(files.certificate, 'utf8')])
    daemon.reloadCallerTls({ key, cert })
  }
  // The two files change one after the other: a mismatched pair is rejected, and the second change loads the complete pair.
  return [files.key, files.certificate].map(file => watch(file, () => { reload().catch(error => daemon.log.warn('tls_reload_failed', { reason: String(error) })) }))
}
