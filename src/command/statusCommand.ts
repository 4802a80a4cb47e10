/** `lavenderdoor status`: shows the status of a daemon. */
import { request } from 'undici'
import { Err, Ok, type Result, SystemClock, replyTimeoutSignal } from '../contract/index.ts'
import { CommandFailure } from './commandFailure.ts'
import type { DaemonStatus } from '../daemon/index.ts'
import { printJson, printLine, printTable } from './output.ts'

const requestTimeoutMilliseconds = 3_000

/** Fetches the status of a daemon from its operators' server. */
export async function fetchDaemonStatus (address: string): Promise<Result<DaemonStatus, CommandFailure>> {
  const timeout = replyTimeoutSignal(new SystemClock(), requestTimeoutMilliseconds)
  try {
    const response = await request(`http://${address}/status`, { headersTimeout: 0, bodyTimeout: 0, signal: timeout.signal })
    return Ok(await response.body.json() as DaemonStatus)
  } catch (error) {
    return Err(new CommandFailure(`no status from the daemon at ${address}: ${error instanceof Error ? error.message : String(error)}`))
  } finally {
    timeout.cancel()
  }
}

/** Prints the status of a daemon. */
export async function status (address: string, options: { readonly json?: boolean }): Promise<Result<void, CommandFailure>> {
  const found = await fetchDaemonStatus(address)
  if (found.err) return found
  if (options.json) {
    printJson(found.val)
    return Ok(undefined)
  }
  const { settings, ...daemon } = found.val
  printLine(`${daemon.name} in ${daemon.dataCentre} (${daemon.region}), ${daemon.ready ? 'ready' : 'not ready'}, ${daemon.requestsInFlight} requests in flight`)
  printLine(`settings revision ${settings.revision}, lease ${settings.lease}; steward: ${daemon.steward ? 'yes' : 'no'}; bills waiting: ${daemon.billBacklog}`)
  printTable(daemon.members.map(member => ({ daemon: member.name, data_centre: member.dataCentre, state: member.state })))
  printTable(daemon.endpoints.map(endpoint => ({ ...endpoint })))
  return Ok(undefined)
}
