/** Entry point of the gateway program, called by its launcher. It takes no arguments; its configuration is in the boot file. */
import { bootFilePathVariable, readBootFile } from '../../platform/index.ts'
import type { CallerListener } from '../server/index.ts'
import { Forwarder } from './forwarder.ts'
import type { ProcessSignals } from './processSignals.ts'

const failureExitCode = 1
/** Shared by all gateways of a site; set by the deploy file. */
const secretVariable = 'LAVENDERDOOR_LINK_SECRET'

/**
 * Runs the gateway until it is stopped; a failure to start is printed and ends the process.
 *
 * @param listener may listen for callers already
 * @param signals may have kept some already
 * @example
 * await main(new CallerListener(), new ProcessSignals())
 */
export async function main (listener: CallerListener, signals: ProcessSignals): Promise<void> {
  try {
    await run(listener, signals)
  } catch (error) {
    fail(error instanceof Error ? error.stack ?? error.message : String(error))
  }
}

async function run (listener: CallerListener, signals: ProcessSignals): Promise<void> {
  const bootFilePath = process.env[bootFilePathVariable]
  const secret = process.env[secretVariable]
  if (bootFilePath === undefined || secret === undefined || secret === '') return fail(`${bootFilePathVariable} and ${secretVariable} must be set`)
  const boot = await readBootFile(bootFilePath)
  if (boot.err) return fail(boot.val)
  const forwarder = new Forwarder(bootFilePath, { boot: boot.val, secret, listener })
  const started = await forwarder.start()
  if (started.err) return fail(started.val)
  signals.handleWith({
    SIGHUP: () => { forwarder.reload().catch(error => fail(String(error))) },
    SIGTERM: () => { forwarder.stop().then(() => process.exit(0), error => fail(String(error))) }
  })
}

function fail (reason: string): void {
  process.stderr.write(`${JSON.stringify({ time: new Date().toISOString(), level: 'error', event: 'failed', reason })}\n`)
  process.exit(failureExitCode)
}
