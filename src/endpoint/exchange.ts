/**
 * Pull-based HTTP exchange. It provides four guarantees to its users.
 *
 * Delivery: `mayStillSend` is checked in the handler that the HTTP client calls synchronously before
 * it writes the request head to the connected socket, in the same event-loop turn. If it returns
 * false, or the exchange was aborted before, the write is prevented and `mayHaveSent` stays false.
 * Bytes handed to the kernel are beyond control: they may arrive late, even after this process has
 * exited. The HTTP client may requeue a request when a connection breaks; the second start is
 * prevented, so nothing is sent twice.
 *
 * Backpressure: unread bytes are bounded; the socket is paused above the bound.
 *
 * Fairness: after a bounded number of bytes and of pieces of a response, the socket is paused until the event loop has
 * read other input.
 *
 * One response: the exchange fails before it hands on the head of another response of the same attempt, which an
 * endpoint may send behind a response that stopped in the middle of its body.
 *
 * Inactivity: the exchange fails if nothing arrives within the timeout. Time during which the reader
 * keeps the socket paused does not count, nor does time for which the event loop was held up.
 *
 * Deadline: the exchange fails as overdue at its deadline, unless what had arrived by then completes the response. It is
 * read first, however late this process comes to it and however many steps that takes.
 *
 * Discarding: what nobody needs of a response is read within a bound of bytes and of time, so that its connection
 * can be used again, and the connection is closed at the bound.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { Wait, invariant, scheduleReplyTimeout } from '../contract/index.ts'
import { untilArrivedIsRead } from './arrivedInput.ts'
import { type ExchangeEvent, type ExchangeOptions, isOverdue, overdueReason } from './exchangeContract.ts'
import { SecondHeadScanner } from './secondHeadScanner.ts'
import { TurnShare } from './turnShare.ts'

const noBytes: Buffer = Buffer.alloc(0)
const secondHeadReason = 'the body of the response contains the head of another one'

/** Unread bytes above which the socket is paused. */
export const maximumBufferedBytes = 64 * 1024

/** A connection is closed once more than this was read of a response that is discarded. */
export const maximumDiscardedBytes = 64 * 1024
/** A connection is closed if a response that is discarded has not ended within this time. */
export const maximumDiscardMilliseconds = 1_000

/** A request and its response, read event by event. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #options: ExchangeOptions
  readonly #events: ExchangeEvent[] = []
  readonly #secondHead: SecondHeadScanner | undefined
  #bytesBehind: Buffer = noBytes
  #bufferedBytes = 0
  #receivedBytes = 0
  #bytesBeforeDeadline: number | undefined
  #eventCount = 0
  /** Since something of the response was last received, or the request was sent. */
  readonly #silence: Wait
  #controller: Dispatcher.DispatchController | undefined
  #mayHaveSent = false
  #finalEvent: ExchangeEvent | undefined
  #wakeReader: (() => void) | undefined
  #isDiscarding = false
  #discardedBytes = 0
  readonly #turnShare = new TurnShare(() => this.#resume())
  #cancelDiscardLimit: () => void = () => undefined
  #cancelInactivityWatch: () => void = () => undefined
  #cancelDeadline: () => void = () => undefined

  constructor (options: ExchangeOptions) {
    this.#options = options
    this.#secondHead = options.responseMark === undefined ? undefined : new SecondHeadScanner(options.responseMark)
    this.#silence = new Wait(options.clock)
  }

  /**
   * Sends a request through a pool or client of the HTTP library. What the library rejects is never sent, and
   * the exchange has then failed.
   *
   * @param open returns the pool or client
   * @example
   * const exchange = Exchange.start(() => pool, options)
   * const head = await exchange.next()
   */
  static start (open: () => Pick<Dispatcher, 'dispatch'>, options: ExchangeOptions): Exchange {
    const exchange = new Exchange(options)
    try {
      exchange.#dispatch(open())
    } catch (error) {
      exchange.#finish({ type: 'failure', reason: `request can't be sent: ${error instanceof Error ? error.message : String(error)}`, timedOut: false })
    }
    exchange.#watchInactivity(options.inactivityTimeoutMilliseconds)
    exchange.#watchDeadline()
    return exchange
  }

  #dispatch (dispatcher: Pick<Dispatcher, 'dispatch'>): void {
    const { method, path, headers, body, closesConnection } = this.#options
    dispatcher.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body: body ?? null, reset: closesConnection ?? false }, this)
  }

  /** False only if no byte of the request has left this process and none will. */
  get mayHaveSent (): boolean {
    return this.#mayHaveSent
  }

  /** When something of the response was last received, or the request was sent, in milliseconds of the process's clock. */
  get lastActivityAt (): number {
    return this.#silence.since
  }

  /** For how long the event loop was held up since then, in milliseconds. */
  get heldUpMilliseconds (): number {
    return this.#silence.heldUpMilliseconds
  }

  /** For how long since then more could have been heard, in milliseconds. */
  get heardSilenceMilliseconds (): number {
    return this.#silence.heardMilliseconds
  }

  /** Number of events so far, read or not. */
  get eventCount (): number {
    return this.#eventCount
  }

  /** Bytes received and not yet read. */
  get bufferedBytes (): number {
    return this.#bufferedBytes
  }

  /** Bytes of the response's body received so far, read or not. */
  get receivedBytes (): number {
    return this.#receivedBytes
  }

  /** Those of them that were received after the deadline. */
  get lateBytes (): number {
    return this.#receivedBytes - (this.#bytesBeforeDeadline ?? this.#receivedBytes)
  }

  /** Whether the connection is not read at the moment. */
  get isPaused (): boolean {
    return this.#controller?.paused === true
  }

  /** Whether its endpoint has ended the response, in order or by a failure; read or not. */
  get hasEnded (): boolean {
    return this.#finalEvent !== undefined && !isOverdue(this.#finalEvent)
  }

  /** Whether the end or the failure of the exchange has come, read or not. */
  get isOver (): boolean {
    return this.#finalEvent !== undefined
  }

  /** Returns the next event. After an end or a failure it keeps returning that event. */
  next (): Promise<ExchangeEvent> {
    const event = this.poll()
    if (event !== undefined) return Promise.resolve(event)
    return new Promise(resolve => {
      this.wakeOnEvent(() => {
        this.next().then(resolve)
      })
    })
  }

  /** Returns the next event like `next`; undefined if there is none yet. Pieces of data that have arrived are one event. */
  poll (): ExchangeEvent | undefined {
    const event = this.#takeEvent() ?? this.#finalEvent
    return event === undefined ? undefined : this.#consume(event)
  }

  /** Calls a function once when there is an event; replaces the one of an earlier call. */
  wakeOnEvent (wake: () => void): void {
    this.#wakeReader = wake
  }

  /** Aborts the exchange and closes its connection, which is never reused. */
  abort (reason: string, timedOut = false): void {
    if (this.#finalEvent !== undefined) return
    this.#finish({ type: 'failure', reason, timedOut })
    this.#controller?.abort(new Error(reason))
  }

  /** Aborts the exchange once what has arrived of the response is read, unless that completes it. */
  async abortAfterInput (reason: string): Promise<void> {
    await untilArrivedIsRead(this, this.#options.clock)
    this.abort(reason)
  }

  /**
   * Discards what has arrived of the response and the rest of it. The connection is reusable if the response ends
   * within `maximumDiscardedBytes` and `maximumDiscardMilliseconds`, and is closed otherwise. The next event is the
   * end or the failure of the exchange.
   */
  discardRest (): void {
    this.#events.length = 0
    this.#bufferedBytes = 0
    if (this.#finalEvent !== undefined || this.#isDiscarding) return
    this.#isDiscarding = true
    this.#cancelDeadline()
    this.#cancelDiscardLimit = scheduleReplyTimeout(this.#options.clock, maximumDiscardMilliseconds, () => this.abort('the response did not end in time when it was discarded'))
    this.#resume()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#finalEvent !== undefined || this.#mayHaveSent) {
      controller.abort(new Error('request was not sent again after an earlier start'))
      return
    }
    this.#controller = controller
    if (!this.#options.mayStillSend()) {
      this.abort('request was not sent: sending is no longer allowed')
      return
    }
    this.#mayHaveSent = true
    this.#silence.restart()
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    this.#silence.restart()
    this.#push({ type: 'head', status, headers })
  }

  onResponseData (controller: Dispatcher.DispatchController, bytes: Buffer): void {
    if (this.#turnShare.use(bytes.length)) controller.pause()
    if (this.#isDiscarding) return this.#discard(bytes)
    this.#silence.restart()
    if (this.#secondHead?.push(bytes) === true) return this.abort(secondHeadReason)
    if (this.#secondHead?.isUndecided === true) this.#bytesBehind = this.#options.bytesBehind?.(bytes) ?? noBytes
    this.#bufferedBytes += bytes.length
    this.#receivedBytes += bytes.length
    this.#push({ type: 'data', bytes })
    if (this.#bufferedBytes > maximumBufferedBytes) controller.pause()
  }

  onResponseEnd (): void {
    if (this.#options.isConnectionFailing?.() === true) return this.#finish({ type: 'failure', reason: 'connection failed at the end of the response', timedOut: false })
    if (this.#secondHead?.end(this.#bytesBehind) === true) return this.#finish({ type: 'failure', reason: secondHeadReason, timedOut: false })
    this.#finish({ type: 'end' })
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.#finish({ type: 'failure', reason: error.message || error.name, timedOut: false })
  }

  #discard (bytes: Buffer): void {
    this.#discardedBytes += bytes.length
    if (this.#discardedBytes > maximumDiscardedBytes) this.abort('the response is too long to be discarded')
  }

  /** Resumes a paused connection, unless other input is to be read first or what has arrived of it is to be consumed. */
  #resume (): void {
    if (this.#finalEvent !== undefined || this.#turnShare.isUsedUp || !this.isPaused || this.#bufferedBytes > maximumBufferedBytes / 2) return
    this.#silence.restart()
    this.#controller?.resume()
  }

  #takeEvent (): ExchangeEvent | undefined {
    const first = this.#events.shift()
    if (first?.type !== 'data' || this.#events[0]?.type !== 'data') return first
    const pieces = [first.bytes]
    for (let next = this.#events[0]; next?.type === 'data'; next = this.#events[0]) {
      pieces.push(next.bytes)
      this.#events.shift()
    }
    return { type: 'data', bytes: Buffer.concat(pieces) }
  }

  #consume (event: ExchangeEvent): ExchangeEvent {
    if (event.type !== 'data') return event
    this.#bufferedBytes -= event.bytes.length
    invariant(this.#bufferedBytes >= 0, 'buffered bytes are counted', () => ({ bufferedBytes: this.#bufferedBytes }))
    this.#resume()
    return event
  }

  #push (event: ExchangeEvent): void {
    if (this.#finalEvent !== undefined) return
    this.#events.push(event)
    this.#eventCount++
    this.#wake()
  }

  #finish (event: ExchangeEvent): void {
    if (this.#finalEvent !== undefined) return
    this.#finalEvent = event
    this.#eventCount++
    this.#cancelInactivityWatch()
    this.#cancelDeadline()
    this.#cancelDiscardLimit()
    this.#wake()
  }

  #wake (): void {
    const wake = this.#wakeReader
    this.#wakeReader = undefined
    wake?.()
  }

  /** The timer is set again only when it fires, since setting it for each event costs more than the event. */
  #watchInactivity (milliseconds: number): void {
    if (this.#finalEvent === undefined) this.#cancelInactivityWatch = this.#options.clock.scheduleAfterInput(milliseconds, () => this.#checkInactivity())
  }

  #watchDeadline (): void {
    const { clock, deadline } = this.#options
    if (this.#finalEvent !== undefined || deadline === undefined) return
    this.#cancelDeadline = clock.scheduleAfterInput(deadline - clock.now(), () => {
      this.#bytesBeforeDeadline = this.#receivedBytes
      this.abortAfterInput(overdueReason)
    })
  }

  #checkInactivity (): void {
    const { inactivityTimeoutMilliseconds } = this.#options
    if (this.isPaused) this.#silence.restart()
    const inactiveMilliseconds = this.heardSilenceMilliseconds
    if (inactiveMilliseconds >= inactivityTimeoutMilliseconds) return this.abort('connection received no data within the inactivity timeout', true)
    this.#watchInactivity(Math.ceil(inactivityTimeoutMilliseconds - inactiveMilliseconds))
  }
}
