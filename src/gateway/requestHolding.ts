/**
 * What one request holds, from its head to the last byte of its response. What is read of an answer before it is passed
 * on has an account of its own: an endpoint that sends much and ends nothing must not take the room of callers.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { CloseCause, type HeldBytes, type Holding } from '../server/index.ts'
import { cutResponse } from './responseFraming.ts'

/** Memory that a field of a head takes beyond its text, by the time it has been read and copied for an attempt. */
const fieldBytes = 200

/** The accounts of a process. */
export interface HeldBytesAccounts {
  /** Of heads, bodies and answers that callers have not read. */
  readonly heldBytes: HeldBytes
  /** Of answers that are not passed on yet. */
  readonly heldAnswers: HeldBytes
}

/** The size of a request's head. */
export interface HeadSize {
  readonly bytes: number
  readonly fields: number
}

/**
 * @example
 * const holding = new RequestHolding({ heldBytes, heldAnswers }, response)
 * if (!holding.tryAddHead(headSizeOf(request))) refuse()
 */
export class RequestHolding {
  readonly #accounts: HeldBytesAccounts
  readonly #holding: Holding
  readonly #response: ServerResponse
  readonly #eviction = new AbortController()
  #answer: Holding | undefined
  #hasBegunWork = false

  constructor (accounts: HeldBytesAccounts, response: ServerResponse) {
    this.#accounts = accounts
    this.#response = response
    this.#holding = accounts.heldBytes.open(() => this.#evict())
  }

  /** Aborted when the request is to be refused because what it holds is needed for others. */
  get evicted (): AbortSignal {
    return this.#eviction.signal
  }

  /** Adds the head; returns false if there is no room. */
  tryAddHead ({ bytes, fields }: HeadSize): boolean {
    return this.#holding.tryAdd(bytes + fields * fieldBytes)
  }

  /** Adds a part of the body; returns false if there is no room. */
  tryAdd (bytes: number): boolean {
    return this.#holding.tryAdd(bytes)
  }

  /**
   * Sets the bytes that are held of the answer until they can be passed on.
   *
   * @returns false if there is no room for more than before
   */
  trySetAnswer (bytes: number): boolean {
    if (bytes < (this.#answer?.bytes ?? 0)) this.#releaseAnswer()
    if (bytes === 0) return true
    this.#answer ??= this.#openAnswer()
    return this.#answer.tryAdd(bytes - this.#answer.bytes)
  }

  /** The request has been read; it is worked on from now on. */
  beginWork (): void {
    this.#hasBegunWork = true
    this.#holding.protect()
  }

  /** Counts what the caller has not read while it is waited for. */
  async whileUnread (drained: Promise<void>): Promise<void> {
    this.#holding.setUnread(this.#response.writableLength)
    await drained
    this.#holding.setUnread(0)
  }

  /** Gives back all but what the caller has yet to read. */
  endWork (): void {
    const { writableFinished, writableLength, destroyed } = this.#response
    const isOver = writableFinished || destroyed
    this.#holding.release()
    this.#releaseAnswer()
    if (!isOver && writableLength > 0) this.#holdUnread(writableLength)
  }

  #openAnswer (): Holding {
    const answer = this.#accounts.heldAnswers.open(() => undefined)
    answer.protect()
    return answer
  }

  #releaseAnswer (): void {
    this.#answer?.release()
    this.#answer = undefined
  }

  #holdUnread (bytes: number): void {
    const unread = this.#accounts.heldBytes.open(() => cutResponse(this.#response, CloseCause.Evicted))
    unread.setUnread(bytes)
    this.#response.once('close', () => unread.release())
  }

  #evict (): void {
    if (this.#hasBegunWork) cutResponse(this.#response, CloseCause.Evicted)
    else this.#eviction.abort()
  }
}

/**
 * The size of a request's head. It looks at the fields as they were parsed: making a lookup of them takes memory.
 *
 * @example
 * const isTooLarge = headSizeOf(request).bytes > limits.maximumHeaderBytes
 */
export function headSizeOf ({ rawHeaders, method, url }: IncomingMessage): HeadSize {
  const lines = rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
  return { bytes: lines + (method?.length ?? 0) + (url?.length ?? 0), fields: rawHeaders.length / 2 }
}
