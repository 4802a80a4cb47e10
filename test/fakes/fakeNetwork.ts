/**
 * A network in process, on a clock, under the real endpoint clients: it takes the place of the TCP
 * connections, so that thousands of cuts and silences cost no sockets. A script says what befalls
 * each exchange and each piece of its reply; `silence` makes the connections that are open now,
 * pooled ones included, carry nothing any more, while new ones work.
 */
import type { Dispatcher } from 'undici'
import type { Clock } from '../../src/contract/index.ts'
import type { ConnectionPool, ConnectionFactory } from '../../src/endpoint/index.ts'

/** A request as the server gets it. */
export interface NetworkRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** A reply; its pieces arrive one by one. */
export interface NetworkReply {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly chunks: AsyncIterable<string>
}

/** What stands at an address. */
export interface NetworkServer {
  handleRequest (request: NetworkRequest): NetworkReply
}

/** What befalls one piece: the pieces that arrive in its place, and whether the connection ends there. */
export interface ChunkFault {
  readonly deliveredChunks: readonly string[]
  readonly connectionFault?: 'cut' | 'silent'
}

/** What befalls one exchange. */
export interface ExchangeFault {
  readonly isRefused?: boolean
  /** Milliseconds until the connection stands. */
  readonly connectMilliseconds?: number
  /** What is written never arrives, and nothing comes back. */
  readonly isRequestLost?: boolean
  /** Milliseconds by which what is written arrives late. */
  readonly requestDelayMilliseconds?: number
  /** The HTTP library starts the request a second time, as it may where a connection breaks early. */
  readonly startsTwice?: boolean
  readonly faultForChunk?: (text: string, index: number) => ChunkFault
}

interface FakeConnection {
  isSilent: boolean
}

export class FakeHttpNetwork implements ConnectionFactory {
  /** Says what befalls each exchange. */
  script: (address: string, request: NetworkRequest) => ExchangeFault = () => ({})
  /** Second starts that the client let pass; each would be a second copy on the wire. */
  duplicateRequests = 0
  readonly #clock: Clock
  readonly #servers = new Map<string, NetworkServer>()
  readonly #connections = new Map<string, FakeConnection[]>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Puts a server at an address; undefined takes it away. */
  serve (address: string, server: NetworkServer | undefined): void {
    if (server === undefined) this.#servers.delete(address)
    else this.#servers.set(address, server)
  }

  /** Makes every connection that is open to an address carry nothing any more. */
  silenceConnections (address: string): void {
    for (const connection of this.#connections.get(address) ?? []) connection.isSilent = true
    this.#connections.delete(address)
  }

  createPool (address: string): ConnectionPool {
    const connection = this.createSingleUse(address)
    return { ...connection, activeCount: 1, close: async () => undefined, destroy: async () => undefined }
  }

  createSingleUse (address: string): Pick<Dispatcher, 'dispatch'> {
    const fakeConnection: FakeConnection = { isSilent: false }
    this.#connections.set(address, [...this.#connections.get(address) ?? [], fakeConnection])
    return {
      dispatch: (options, handler) => {
        this.#exchange(address, fakeConnection, toNetworkRequest(options), handler).catch(() => undefined)
        return true
      }
    }
  }

  async #exchange (address: string, connection: FakeConnection, request: NetworkRequest, handler: Dispatcher.DispatchHandler): Promise<void> {
    const fault = this.script(address, request)
    const controller = new FakeController(handler)
    await this.#clock.sleep(fault.connectMilliseconds ?? 0)
    const server = this.#servers.get(address)
    if (server === undefined || fault.isRefused === true) return controller.fail('connection refused')
    handler.onRequestStart?.(controller, {})
    if (fault.startsTwice === true) this.#startDuplicate(handler)
    if (controller.aborted || connection.isSilent || fault.isRequestLost === true) return
    await this.#clock.sleep(fault.requestDelayMilliseconds ?? 0)
    await this.#deliverReply(server.handleRequest(request), connection, fault, controller, handler)
  }

  #startDuplicate (handler: Dispatcher.DispatchHandler): void {
    const duplicateController = new FakeController({})
    handler.onRequestStart?.(duplicateController, {})
    if (!duplicateController.aborted) this.duplicateRequests++
  }

  async #deliverReply (reply: NetworkReply, connection: FakeConnection, fault: ExchangeFault, controller: FakeController, handler: Dispatcher.DispatchHandler): Promise<void> {
    if (controller.aborted || connection.isSilent) return
    handler.onResponseStart?.(controller, reply.status, { ...reply.headers })
    let index = 0
    for await (const text of reply.chunks) {
      await controller.waitUntilResumed()
      if (controller.aborted || connection.isSilent) return
      const { deliveredChunks: arrive, connectionFault: then } = fault.faultForChunk?.(text, index++) ?? { deliveredChunks: [text] }
      for (const piece of arrive) handler.onResponseData?.(controller, Buffer.from(piece))
      if (then === 'silent') connection.isSilent = true
      if (then === 'cut') return controller.fail('other side closed')
    }
    if (!controller.aborted && !connection.isSilent) handler.onResponseEnd?.(controller, {})
  }
}

class FakeController implements Dispatcher.DispatchController {
  aborted = false
  paused = false
  reason: Error | null = null
  readonly #handler: Dispatcher.DispatchHandler
  #wake: (() => void) | undefined

  constructor (handler: Dispatcher.DispatchHandler) {
    this.#handler = handler
  }

  abort (reason: Error): void {
    if (this.aborted) return
    this.aborted = true
    this.reason = reason
    this.resume()
    this.#handler.onResponseError?.(this, reason)
  }

  fail (reason: string): void {
    this.abort(new Error(reason))
  }

  pause (): void {
    this.paused = true
  }

  resume (): void {
    this.paused = false
    this.#wake?.()
  }

  /** Fulfilled while the reader takes more. */
  async waitUntilResumed (): Promise<void> {
    while (this.paused) await new Promise<void>(resolve => { this.#wake = resolve })
  }
}

function toNetworkRequest (options: Dispatcher.DispatchOptions): NetworkRequest {
  return {
    method: options.method,
    path: options.path,
    headers: options.headers as Record<string, string>,
    body: options.body === null ? '' : Buffer.from(options.body as string | Uint8Array).toString('utf8')
  }
}
