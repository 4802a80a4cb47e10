/** `lavenderdoor status`: what a daemon says of itself. */
import { request } from 'undici'
import { Err, Ok, type Result } from '../contract/index.ts'
import { CommandFailure } from './commandFailure.ts'
import type { DaemonStatus } from '../daemon/index.ts'
import { printJson, printLine, printTable } from './output.ts'

const requestTimeoutMilliseconds = 3_000

/** Asks a daemon for its status. */
export async function fetchDaemonStatus (address: string): Promise<Result<DaemonStatus, CommandFailure>> {
  try {
    const response = await request(`http://${address}/status`, { headersTimeout: requestTimeoutMilliseconds, bodyTimeout: requestTimeoutMilliseconds, signal: AbortSignal.timeout(requestTimeoutMilliseconds) })
    return Ok(await response.body.json() as DaemonStatus)
  } catch (error) {
    return Err(new CommandFailure(`${address} does not answer: ${error instanceof Error ? error.message : String(error)}`))
  }
}

/** Prints a daemon's status. */
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
