/**
 * The body of one request, collected from the moment its head has arrived. Until somebody reads it, only its
 * beginning is kept. It is never left to the stream's own buffer, which keeps every piece apart: a body in pieces
 * of single bytes would take hundreds of bytes for each.
 */
import type { IncomingMessage } from 'node:http'
import { ByteCollector } from './byteCollector.ts'
import { discardInput } from './discardInput.ts'

/** Bytes kept before the body is read; ordinary bodies arrive completely by then. */
const maximumEarlyBytes = 256 * 1024
/** Pieces after which it shows whether a body is fragmented. */
const judgedPieces = 1_024
/** A fragmented body has fewer bytes a piece on average. */
const minimumMeanPieceBytes = 64
/** Bodies that are fragmented take much processor time, so few are read at a time. */
const maximumFragmentedBodies = 2
/** Pause of a fragmented body after each run of pieces. */
const fragmentedRestMilliseconds = 40

/** How a body ended. */
export const BodyEnd = {
  Complete: 'complete',
  /** The request broke off or timed out. */
  Broken: 'broken',
  /** The reader wanted no more. */
  Stopped: 'stopped',
  /** It is fragmented, and others like it are being read. */
  Fragmented: 'fragmented'
} as const
export type BodyEnd = typeof BodyEnd[keyof typeof BodyEnd]

/** Takes what arrives; returns false to stop reading. */
export type BodyReader = (addedBytes: number, totalBytes: number) => boolean

/** Kept at the request itself: the launcher and the program that it loads each have a copy of this module. */
const bodyKey = Symbol.for('lavenderdoor.incomingBody')
type RequestWithBody = IncomingMessage & { [bodyKey]?: IncomingBody }

const fragmentedBodies = new Set<IncomingBody>()

/**
 * @example
 * const body = IncomingBody.of(request)
 * const end = await body.read((_added, total) => total <= maximumBytes)
 */
export class IncomingBody {
  readonly #request: IncomingMessage
  readonly #collector = new ByteCollector()
  #pieces = 0
  #reader: BodyReader | undefined
  #end: BodyEnd | undefined
  #resolve: (end: BodyEnd) => void = () => undefined

  private constructor (request: IncomingMessage) {
    this.#request = request
    request.on('data', (piece: Buffer) => this.#receive(piece))
    request.once('end', () => this.#finish(BodyEnd.Complete))
    request.once('error', () => this.#finish(BodyEnd.Broken))
    request.once('close', () => this.#finish(BodyEnd.Broken))
  }

  /** The body of a request; begins to collect it at the first call. */
  static of (request: RequestWithBody): IncomingBody {
    request[bodyKey] ??= new IncomingBody(request)
    return request[bodyKey]
  }

  /** Reads the body to its end. To be called once; the bytes are then to be taken, unless the reader stopped. */
  read (reader: BodyReader): Promise<BodyEnd> {
    return new Promise(resolve => {
      this.#resolve = resolve
      const { length } = this.#collector
      if (length > 0 && !reader(length, length)) return this.#finish(BodyEnd.Stopped)
      if (this.#end !== undefined) return resolve(this.#end)
      this.#reader = reader
      this.#request.resume()
    })
  }

  /** Ends the reading; what arrives from now on is discarded. */
  stop (): void {
    this.#finish(BodyEnd.Stopped)
  }

  /** Returns all bytes and forgets them. */
  take (): Buffer {
    return this.#collector.take()
  }

  #receive (piece: Buffer): void {
    if (this.#end !== undefined) return
    this.#pieces++
    const length = this.#collector.length + piece.length
    if (this.#reader?.(piece.length, length) === false) return this.#finish(BodyEnd.Stopped)
    this.#collector.push(piece)
    if (this.#reader === undefined && length >= maximumEarlyBytes) this.#request.pause()
    if (!this.#isFragmented || this.#pieces % judgedPieces !== 0) return
    if (this.#tryJoinFragmented()) this.#rest()
    else this.#endFragmented()
  }

  /** Leaves the processor to others for a while. What arrives meanwhile is kept by the stream, which few bodies may do. */
  #rest (): void {
    this.#request.pause()
    setTimeout(() => this.#request.resume(), fragmentedRestMilliseconds)
  }

  get #isFragmented (): boolean {
    return this.#pieces >= judgedPieces && this.#collector.length < this.#pieces * minimumMeanPieceBytes
  }

  #tryJoinFragmented (): boolean {
    if (!fragmentedBodies.has(this) && fragmentedBodies.size >= maximumFragmentedBodies) return false
    fragmentedBodies.add(this)
    return true
  }

  /** To parse the rest, if only to discard it, is what takes the time. The connection may have a request that is running. */
  #endFragmented (): void {
    this.#finish(BodyEnd.Fragmented)
    discardInput(this.#request.socket)
  }

  /** A body that arrived completely stays so when its connection closes. */
  #finish (end: BodyEnd): void {
    if (end === BodyEnd.Broken && this.#end !== undefined) return
    fragmentedBodies.delete(this)
    this.#end ??= end
    if (end !== BodyEnd.Complete) this.#collector.clear()
    this.#reader = undefined
    this.#resolve(this.#end)
  }
}
