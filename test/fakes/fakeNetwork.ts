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
  readonly pieces: AsyncIterable<string>
}

/** What stands at an address. */
export interface NetworkServer {
  answer (request: NetworkRequest): NetworkReply
}

/** What befalls one piece: the pieces that arrive in its place, and whether the connection ends there. */
export interface PieceFate {
  readonly arrive: readonly string[]
  readonly then?: 'cut' | 'silent'
}

/** What befalls one exchange. */
export interface ExchangeFate {
  readonly refused?: boolean
  /** Milliseconds until the connection stands. */
  readonly connect?: number
  /** What is written never arrives, and nothing comes back. */
  readonly requestLost?: boolean
  /** Milliseconds by which what is written arrives late. */
  readonly late?: number
  /** The HTTP library starts the request a second time, as it may where a connection breaks early. */
  readonly startsTwice?: boolean
  readonly piece?: (text: string, index: number) => PieceFate
}

interface Line {
  isSilent: boolean
}

export class FakeNetwork implements ConnectionFactory {
  /** Says what befalls each exchange. */
  script: (address: string, request: NetworkRequest) => ExchangeFate = () => ({})
  /** Second starts that the client let pass; each would be a second copy on the wire. */
  secondCopies = 0
  readonly #clock: Clock
  readonly #servers = new Map<string, NetworkServer>()
  readonly #lines = new Map<string, Line[]>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Puts a server at an address; undefined takes it away. */
  serve (address: string, server: NetworkServer | undefined): void {
    if (server === undefined) this.#servers.delete(address)
    else this.#servers.set(address, server)
  }

  /** Makes every connection that is open to an address carry nothing any more. */
  silence (address: string): void {
    for (const line of this.#lines.get(address) ?? []) line.isSilent = true
    this.#lines.delete(address)
  }

  createPool (address: string): ConnectionPool {
    const connection = this.createSingleUse(address)
    return { ...connection, activeCount: 1, close: async () => undefined, destroy: async () => undefined }
  }

  createSingleUse (address: string): Pick<Dispatcher, 'dispatch'> {
    const line: Line = { isSilent: false }
    this.#lines.set(address, [...this.#lines.get(address) ?? [], line])
    return {
      dispatch: (options, handler) => {
        this.#carry(address, line, requestOf(options), handler).catch(() => undefined)
        return true
      }
    }
  }

  async #carry (address: string, line: Line, request: NetworkRequest, handler: Dispatcher.DispatchHandler): Promise<void> {
    const fate = this.script(address, request)
    const controller = new FakeController(handler)
    await this.#clock.sleep(fate.connect ?? 0)
    const server = this.#servers.get(address)
    if (server === undefined || fate.refused === true) return controller.fail('connection refused')
    handler.onRequestStart?.(controller, {})
    if (fate.startsTwice === true) this.#startAgain(handler)
    if (controller.aborted || line.isSilent || fate.requestLost === true) return
    await this.#clock.sleep(fate.late ?? 0)
    await this.#reply(server.answer(request), line, fate, controller, handler)
  }

  #startAgain (handler: Dispatcher.DispatchHandler): void {
    const again = new FakeController({})
    handler.onRequestStart?.(again, {})
    if (!again.aborted) this.secondCopies++
  }

  async #reply (reply: NetworkReply, line: Line, fate: ExchangeFate, controller: FakeController, handler: Dispatcher.DispatchHandler): Promise<void> {
    if (controller.aborted || line.isSilent) return
    handler.onResponseStart?.(controller, reply.status, { ...reply.headers })
    let index = 0
    for await (const text of reply.pieces) {
      await controller.flowing()
      if (controller.aborted || line.isSilent) return
      const { arrive, then } = fate.piece?.(text, index++) ?? { arrive: [text] }
      for (const piece of arrive) handler.onResponseData?.(controller, Buffer.from(piece))
      if (then === 'silent') line.isSilent = true
      if (then === 'cut') return controller.fail('other side closed')
    }
    if (!controller.aborted && !line.isSilent) handler.onResponseEnd?.(controller, {})
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
  async flowing (): Promise<void> {
    while (this.paused) await new Promise<void>(resolve => { this.#wake = resolve })
  }
}

function requestOf (options: Dispatcher.DispatchOptions): NetworkRequest {
  return {
    method: options.method,
    path: options.path,
    headers: options.headers as Record<string, string>,
    body: options.body === null ? '' : Buffer.from(options.body as string | Uint8Array).toString('utf8')
  }
}
