/**
 * One HTTP exchange, read by pulling. Three things are settled here for everything above.
 *
 * Whether bytes can have left: `mayStillSend` is asked in the handler that the HTTP client calls
 * from the very function that then writes the head to the connected socket, with no turn of the
 * event loop between. Where it says no, or the exchange was given up before, the write is
 * prevented, so `mayHaveSent` stays false for good. What remains is outside the process: bytes
 * handed to the kernel may arrive late, or after this process is gone. The HTTP client can queue a
 * request again when a connection breaks; the second start is prevented, so nothing is sent twice.
 *
 * Backpressure: what has arrived and was not taken is bounded; beyond that the socket is paused.
 *
 * Silence: a task watches how long nothing has arrived. Time in which the reader itself holds the
 * socket paused does not count.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { type Clock, invariant, sleepUntil } from '../contract/index.ts'

/** What an exchange yields, in this order: a head, pieces, and an end; or a failure at any point. */
export type ExchangeEvent =
  | { readonly type: 'head', readonly status: number, readonly headers: IncomingHttpHeaders }
  | { readonly type: 'data', readonly bytes: Buffer }
  | { readonly type: 'end' }
  | { readonly type: 'failure', readonly reason: string, readonly timedOut: boolean }

/** What one exchange sends and how long it waits. */
export interface ExchangeOptions {
  readonly clock: Clock
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | string | undefined
  /** Milliseconds without any byte after which the connection counts as silent. */
  readonly inactivityTimeoutMilliseconds: number
  /** Asked in the turn of the write. */
  readonly mayStillSend: () => boolean
  /** Whether its connection is closed after it; off where it is not given. */
  readonly closesConnection?: boolean
  /** Whether its connection may be failing in this turn; an end that comes then is none. */
  readonly isConnectionFailing?: () => boolean
}

/** Bytes kept for a reader that is slower than the sender. */
export const maximumBufferedBytes = 64 * 1024

/** One HTTP exchange. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #options: ExchangeOptions
  readonly #timeoutWatch = new AbortController()
  readonly #events: ExchangeEvent[] = []
  #bufferedBytes = 0
  #lastActivityAt: number
  #controller: Dispatcher.DispatchController | undefined
  #mayHaveSent = false
  #finalEvent: ExchangeEvent | undefined
  #wakeReader: (() => void) | undefined
  #isDiscarding = false

  constructor (options: ExchangeOptions) {
    this.#options = options
    this.#lastActivityAt = options.clock.now()
  }

  /**
   * Sends a request through a pool or client of the HTTP library.
   *
   * @example
   * const exchange = Exchange.start(pool, options)
   * const head = await exchange.next()
   */
  static start (dispatcher: Pick<Dispatcher, 'dispatch'>, options: ExchangeOptions): Exchange {
    const exchange = new Exchange(options)
    dispatcher.dispatch({
      method: options.method as Dispatcher.HttpMethod,
      path: options.path,
      headers: options.headers,
      body: options.body ?? null,
      reset: options.closesConnection ?? false
    }, exchange)
    exchange.#watchInactivity().catch(() => undefined)
    return exchange
  }

  /** False only where no byte of the request has left and none can leave later. */
  get mayHaveSent (): boolean {
    return this.#mayHaveSent
  }

  /** Bytes that have arrived and were not taken yet. */
  get bufferedBytes (): number {
    return this.#bufferedBytes
  }

  /** The next event; after an end or a failure it is the same again. */
  async next (): Promise<ExchangeEvent> {
    for (;;) {
      const event = this.#events.shift() ?? this.#finalEvent
      if (event !== undefined) return this.#consume(event)
      await new Promise<void>(resolve => { this.#wakeReader = resolve })
    }
  }

  /** Gives the exchange up: its connection is cut and never used again. */
  abort (reason: string, timedOut = false): void {
    if (this.#finalEvent !== undefined) return
    this.#finish({ type: 'failure', reason, timedOut })
    this.#controller?.abort(new Error(reason))
  }

  /** Reads no more. The connection can serve others if the end comes soon; otherwise it is cut. */
  discardRest (): void {
    this.#isDiscarding = true
    if (this.#controller?.paused === true) this.#controller.resume()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#finalEvent !== undefined || this.#mayHaveSent) {
      controller.abort(new Error('not sent a second time'))
      return
    }
    this.#controller = controller
    if (!this.#options.mayStillSend()) {
      this.abort('too late to send')
      return
    }
    this.#mayHaveSent = true
    this.#lastActivityAt = this.#options.clock.now()
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    this.#lastActivityAt = this.#options.clock.now()
    this.#push({ type: 'head', status, headers })
  }

  onResponseData (controller: Dispatcher.DispatchController, bytes: Buffer): void {
    if (this.#isDiscarding) return
    this.#lastActivityAt = this.#options.clock.now()
    this.#bufferedBytes += bytes.length
    this.#push({ type: 'data', bytes })
    if (this.#bufferedBytes > maximumBufferedBytes) controller.pause()
  }

  onResponseEnd (): void {
    if (this.#options.isConnectionFailing?.() === true) return this.#finish({ type: 'failure', reason: 'the connection failed', timedOut: false })
    this.#finish({ type: 'end' })
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.#finish({ type: 'failure', reason: error.message || error.name, timedOut: false })
  }

  #consume (event: ExchangeEvent): ExchangeEvent {
    if (event.type !== 'data') return event
    this.#bufferedBytes -= event.bytes.length
    invariant(this.#bufferedBytes >= 0, 'buffered bytes are counted', () => ({ bufferedBytes: this.#bufferedBytes }))
    if (this.#controller?.paused === true && this.#bufferedBytes <= maximumBufferedBytes / 2) {
      this.#lastActivityAt = this.#options.clock.now()
      this.#controller.resume()
    }
    return event
  }

  #push (event: ExchangeEvent): void {
    if (this.#finalEvent !== undefined) return
    this.#events.push(event)
    this.#wakeReader?.()
  }

  #finish (event: ExchangeEvent): void {
    if (this.#finalEvent !== undefined) return
    this.#finalEvent = event
    this.#timeoutWatch.abort()
    this.#wakeReader?.()
  }

  async #watchInactivity (): Promise<void> {
    const { clock, inactivityTimeoutMilliseconds } = this.#options
    while (this.#finalEvent === undefined) {
      await sleepUntil(clock, this.#lastActivityAt + inactivityTimeoutMilliseconds, this.#timeoutWatch.signal)
      if (this.#controller?.paused === true) this.#lastActivityAt = clock.now()
      const hasTimedOut = clock.now() - this.#lastActivityAt >= inactivityTimeoutMilliseconds
      if (hasTimedOut) this.abort('nothing was heard on the connection', true)
    }
  }
}
