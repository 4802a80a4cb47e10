/**
 * A proxy before one server that can delay, hold back, cut into pieces, silence and reset what it carries. Ends and resets of either
 * side are passed on as they come, so that without a fault the two sides see each other as without a proxy.
 */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net'
import { once } from 'node:events'
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises'
import { LinkFault } from './faults.ts'

const delayMilliseconds = 60
const pieceBytes = 7
/** Longer chunks go on whole after as many pieces. */
const maximumPieces = 64

/** When each lasting fault of a proxy is over, in milliseconds of `performance.now`. */
type FaultEnds = Map<LinkFault, number>

/** One connection through the proxy. */
class ProxiedConnection {
  readonly #client: Socket
  readonly #server: Socket
  readonly #faultEnds: FaultEnds
  #isSilent = false

  constructor (client: Socket, server: Socket, faultEnds: FaultEnds) {
    this.#client = client
    this.#server = server
    this.#faultEnds = faultEnds
    for (const socket of [client, server]) socket.setNoDelay(true).on('error', () => this.#reset())
    this.#carry(client, server, LinkFault.CutTowardsServer).catch(() => this.#reset())
    this.#carry(server, client, LinkFault.CutTowardsClient).catch(() => this.#reset())
  }

  get isOver (): boolean {
    return this.#client.destroyed && this.#server.destroyed
  }

  silence (): void {
    this.#isSilent = true
  }

  reset (): void {
    this.#client.resetAndDestroy()
    this.#server.resetAndDestroy()
  }

  /** Passes a reset of one side on to the other, unless neither hears of the other any more. */
  #reset (): void {
    if (!this.#isSilent) this.reset()
  }

  async #carry (source: Socket, destination: Socket, cut: LinkFault): Promise<void> {
    for await (const bytes of source.iterator({ destroyOnReturn: false })) {
      await this.#wait(cut)
      if (this.#isSilent) continue
      for (const piece of this.#pieces(bytes)) await this.#write(destination, piece)
    }
    await this.#wait(cut)
    if (!this.#isSilent) destination.end()
  }

  async #wait (cut: LinkFault): Promise<void> {
    if (this.#remaining(LinkFault.Delay) > 0) await sleep(delayMilliseconds)
    while (this.#remaining(cut) > 0) await sleep(this.#remaining(cut))
  }

  #remaining (fault: LinkFault): number {
    return Math.max(0, (this.#faultEnds.get(fault) ?? 0) - performance.now())
  }

  #pieces (bytes: Buffer): readonly Buffer[] {
    if (this.#remaining(LinkFault.Pieces) === 0) return [bytes]
    const pieces = Array.from({ length: Math.min(maximumPieces, Math.ceil(bytes.length / pieceBytes)) }, (_, index) => bytes.subarray(index * pieceBytes, (index + 1) * pieceBytes))
    const rest = bytes.subarray(pieces.length * pieceBytes)
    return rest.length === 0 ? pieces : [...pieces, rest]
  }

  async #write (destination: Socket, bytes: Buffer): Promise<void> {
    if (destination.destroyed) return
    const hasRoom = destination.write(bytes)
    if (!hasRoom) await Promise.race([once(destination, 'drain'), once(destination, 'close')])
    else if (this.#remaining(LinkFault.Pieces) > 0) await nextTurn()
  }
}

/**
 * A proxy on an address of its own.
 *
 * @example
 * const proxy = await FaultyProxy.start('127.0.0.1', store.address)
 * proxy.cause(LinkFault.CutTowardsServer, 800)
 */
export class FaultyProxy {
  readonly #server: Server
  readonly #connections = new Set<ProxiedConnection>()
  readonly #faultEnds: FaultEnds = new Map()
  #target: string

  private constructor (target: string) {
    this.#target = target
    this.#server = createServer({ allowHalfOpen: true }, client => this.#accept(client))
  }

  static async start (host: string, target: string): Promise<FaultyProxy> {
    const proxy = new FaultyProxy(target)
    proxy.#server.listen({ host, port: 0 })
    await once(proxy.#server, 'listening')
    return proxy
  }

  /** `IP:port` of the proxy. */
  get address (): string {
    const { address, port } = this.#server.address() as AddressInfo
    return `${address}:${port}`
  }

  /** Sends further connections to another server. */
  retarget (target: string): void {
    this.#target = target
  }

  /** Causes a fault; `Reset` and `Silence` happen to the connections that are open now, the others last. */
  cause (fault: LinkFault, milliseconds: number): void {
    if (fault === LinkFault.Reset) return this.#connections.forEach(connection => connection.reset())
    if (fault === LinkFault.Silence) return this.#connections.forEach(connection => connection.silence())
    this.#faultEnds.set(fault, Math.max(this.#faultEnds.get(fault) ?? 0, performance.now() + milliseconds))
  }

  async close (): Promise<void> {
    for (const connection of this.#connections) connection.reset()
    await new Promise<void>(resolve => this.#server.close(() => resolve()))
  }

  #accept (client: Socket): void {
    const [host, port] = this.#target.split(':')
    const connection = new ProxiedConnection(client, connect({ host, port: Number(port), allowHalfOpen: true }), this.#faultEnds)
    this.#connections.add(connection)
    for (const open of this.#connections) if (open.isOver) this.#connections.delete(open)
  }
}
