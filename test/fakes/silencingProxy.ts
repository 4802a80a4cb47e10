/**
 * Forwards TCP connections to a server. `silence` makes all open connections carry nothing more, without closing them, as
 * a middlebox that has lost their state: bytes are read and thrown away, and connections opened after it work.
 */
import { once } from 'node:events'
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net'

class ForwardedConnection {
  readonly #client: Socket
  readonly #server: Socket
  #isSilent = false
  /** Bytes that the client sent after the connection fell silent. */
  discardedBytes = 0

  constructor (client: Socket, server: Socket) {
    this.#client = client
    this.#server = server
    client.on('data', bytes => this.#forward(bytes, server))
    server.on('data', bytes => { if (!this.#isSilent) client.write(bytes) })
    client.on('error', () => undefined).on('close', () => server.destroy())
    server.on('error', () => undefined).on('close', () => { if (!this.#isSilent) client.destroy() })
  }

  silence (): void {
    this.#isSilent = true
  }

  destroy (): void {
    this.#client.destroy()
    this.#server.destroy()
  }

  #forward (bytes: Buffer, server: Socket): void {
    if (this.#isSilent) this.discardedBytes += bytes.length
    else server.write(bytes)
  }
}

/**
 * A proxy in front of one server.
 *
 * @example
 * const proxy = await SilencingProxy.start('127.0.0.1', store.address)
 * proxy.silence()
 */
export class SilencingProxy {
  readonly #server: Server
  readonly #connections: ForwardedConnection[] = []
  #address = ''

  private constructor (targetAddress: string) {
    const [host = '', port] = targetAddress.split(':')
    this.#server = createServer(client => {
      this.#connections.push(new ForwardedConnection(client, connect({ host, port: Number(port) })))
    })
  }

  static async start (host: string, targetAddress: string): Promise<SilencingProxy> {
    const proxy = new SilencingProxy(targetAddress)
    proxy.#server.listen({ host, port: 0 })
    await once(proxy.#server, 'listening')
    proxy.#address = `${host}:${(proxy.#server.address() as AddressInfo).port}`
    return proxy
  }

  /** `IP:port` of the proxy. */
  get address (): string {
    return this.#address
  }

  /** Connections accepted so far. */
  get connectionCount (): number {
    return this.#connections.length
  }

  /** Bytes that clients sent over connections that had fallen silent. */
  get discardedBytes (): number {
    return this.#connections.reduce((sum, connection) => sum + connection.discardedBytes, 0)
  }

  /** Silences the connections that are open now. */
  silence (): void {
    for (const connection of this.#connections) connection.silence()
  }

  async close (): Promise<void> {
    for (const connection of this.#connections) connection.destroy()
    await new Promise<void>(resolve => this.#server.close(() => resolve()))
  }
}
