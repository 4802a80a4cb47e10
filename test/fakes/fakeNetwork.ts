/**
 * An in-process network on a simulated clock, underneath the real endpoint clients. It replaces their
 * TCP connections, so that thousands of broken and silent connections need no sockets. A script
 * decides the fault of each exchange and of each chunk of its reply. `silenceConnections` makes the
 * open connections, pooled ones included, carry no more data, while new connections work.
 */
import type { Dispatcher } from 'undici'
import type { Clock } from '../../src/contract/index.ts'
import type { ConnectionPool, ConnectionFactory } from '../../src/endpoint/index.ts'

/** A request as the server receives it. */
export interface NetworkRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** A reply whose body arrives in chunks. */
export interface NetworkReply {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly chunks: AsyncIterable<string>
}

/** A server at an address of the network. */
export interface NetworkServer {
  handleRequest (request: NetworkRequest): NetworkReply
}

/** The fault of one chunk: what is delivered in its place, and what becomes of the connection after it. */
export interface ChunkFault {
  readonly deliveredChunks: readonly string[]
  readonly connectionFault?: 'cut' | 'silent'
}

/** The fault of one exchange. */
export interface ExchangeFault {
  readonly isRefused?: boolean
  /** Time to establish the connection. */
  readonly connectMilliseconds?: number
  /** The request never arrives, and there is no reply. */
  readonly isRequestLost?: boolean
  /** Delay between sending the request and its arrival. */
  readonly requestDelayMilliseconds?: number
  /** The HTTP library starts the request a second time, as it may when a connection breaks early. */
  readonly startsTwice?: boolean
  readonly faultForChunk?: (text: string, index: number) => ChunkFault
}

interface FakeConnection {
  isSilent: boolean
}

export class FakeHttpNetwork implements ConnectionFactory {
  /** Decides the fault of each exchange. */
  script: (address: string, request: NetworkRequest) => ExchangeFault = () => ({})
  /** Second starts that the client failed to abort; each would send the request twice. */
  duplicateRequests = 0
  readonly #clock: Clock
  readonly #servers = new Map<string, NetworkServer>()
  readonly #connections = new Map<string, FakeConnection[]>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Registers the server at an address; undefined removes it. */
  serve (address: string, server: NetworkServer | undefined): void {
    if (server === undefined) this.#servers.delete(address)
    else this.#servers.set(address, server)
  }

  /** Makes every open connection to an address carry no more data. */
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
      const { deliveredChunks, connectionFault } = fault.faultForChunk?.(text, index++) ?? { deliveredChunks: [text] }
      for (const chunk of deliveredChunks) handler.onResponseData?.(controller, Buffer.from(chunk))
      if (connectionFault === 'silent') connection.isSilent = true
      if (connectionFault === 'cut') return controller.fail('other side closed')
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

  /** Resolves once the reader accepts data: at once unless it has paused. */
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
