/** Listens on an address by IP number, for the servers of callers and of operators. */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/**
 * Makes a server listen; it rejects where the address is taken.
 *
 * @param address `IP:port`; port 0 takes a free one
 * @returns the `IP:port` that is listened on
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
