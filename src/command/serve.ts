/** `lavenderdoor serve`: runs a daemon until it is told to stop, then lets every request end. */
import { watch } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { Err, Ok, type Result } from '../contract/index.ts'
import { Daemon, readTlsFiles } from '../daemon/index.ts'
import { CommandFailure } from './commandFailure.ts'
import { readLocalSettings } from './platformAccess.ts'
import { waitForStopSignal } from './standInCommand.ts'

/** Options of `serve`. */
export interface ServeOptions {
  readonly config: string
}

/** Runs a daemon. */
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

/** Takes the callers' key files into use again when they change. */
function reloadCertificatesOnChange (files: { readonly key: string, readonly certificate: string } | undefined, daemon: Daemon) {
  if (files === undefined) return []
  const reload = async () => {
    const [key, cert] = await Promise.all([readFile(files.key, 'utf8'), readFile(files.certificate, 'utf8')])
    daemon.reloadCallerTls({ key, cert })
  }
  // The two files change one after the other: a half-changed pair is not taken, the second change is.
  return [files.key, files.certificate].map(file => watch(file, () => { reload().catch(error => daemon.log.warn('tls_reload_failed', { reason: String(error) })) }))
}
