/** A TCP proxy that can silence its open connections for good: they stay open, and nothing passes on them. */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net'

/**
 * @example
 * const front = await SilencingFront.start(endpoint.address)
 * front.silenceOpenConnections()
 */
export class SilencingFront {
  readonly #server: Server
  readonly #pairs = new Map<Socket, Socket>()

  private constructor (address: string) {
    const [host, port] = address.split(':')
    this.#server = createServer(caller => {
      const target = connect({ host, port: Number(port) })
      this.#pairs.set(caller, target)
      caller.pipe(target).on('error', () => caller.destroy())
      target.pipe(caller).on('error', () => target.destroy())
      caller.on('close', () => this.#pairs.delete(caller))
    })
  }

  static async start (address: string): Promise<SilencingFront> {
    const front = new SilencingFront(address)
    await new Promise<void>(resolve => front.#server.listen(0, '127.0.0.1', resolve))
    return front
  }

  get address (): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  silenceOpenConnections (): void {
    for (const [caller, target] of this.#pairs) {
      caller.unpipe(target)
      caller.resume()
      target.unpipe(caller)
    }
  }

  async close (): Promise<void> {
    for (const [caller, target] of this.#pairs) {
      caller.destroy()
      target.destroy()
    }
    await new Promise<void>(resolve => this.#server.close(() => resolve()))
  }
}
