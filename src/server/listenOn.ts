/** Listens on an IP address. */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/**
 * Starts listening; rejects if the address is in use.
 *
 * @param address `IP:port`; port 0 selects a free port
 * @returns the actual `IP:port`
 * @example
 * const address = await listenOn(server, '127.0.0.1:0')
 */
export async function listenOn (server: Server, address: string): Promise<string> {
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(separator + 1)), host.replace(/^\[|\]$/g, ''), resolve)
  })
  return `${host}:${(server.address() as AddressInfo).port}`
}
