/**
 * What the run of a stream may send. A faulty endpoint may send events without end, or the same ones again and again: that
 * is no answer, and passing it on costs the gateway and the caller as long as their time lasts.
 */
import type { RequestHead } from '../routing/index.ts'
import type { CompleteEvents } from './eventSplitter.ts'

/** Events that a run may send besides those with tokens, such as comments that keep a connection open. */
const spareEvents = 1_000
/** A token comes in one event; what an endpoint counts as tokens may differ somewhat from what its events show. */
const maximumEventsPerToken = 4
/** Bytes that a run may send besides those of its tokens. */
const spareBytes = 1024 * 1024
const maximumBytesPerToken = 16 * 1024
/** Longer numbers are compared as text alone. */
const numberPattern = /^\d{1,15}$/

/**
 * The bounds of one run. A request that does not name its size has none on events and bytes.
 *
 * @example
 * const fault = bounds.faultOf(events)
 * if (fault !== undefined) exchange.abort(fault)
 */
export class RunBounds {
  readonly #maximumEvents: number
  readonly #maximumBytes: number
  #lastId: string | undefined
  #events = 0
  #bytes = 0

  /** @param lastId ID of the last event that was passed on of an earlier run; undefined if there was none */
  constructor ({ model, maximumOutputTokens }: Pick<RequestHead, 'model' | 'maximumOutputTokens'>, lastId: string | undefined) {
    const tokens = model === undefined || maximumOutputTokens <= 0 ? Number.POSITIVE_INFINITY : maximumOutputTokens
    this.#maximumEvents = spareEvents + maximumEventsPerToken * tokens
    this.#maximumBytes = spareBytes + maximumBytesPerToken * tokens
    this.#lastId = lastId
  }

  /** Why events that the run has sent can't be part of an answer; undefined if they can. */
  faultOf ({ count, ids, text }: CompleteEvents): string | undefined {
    this.#events += count
    this.#bytes += text.length
    if (this.#events > this.#maximumEvents) return 'more events than the request asked for'
    if (this.#bytes > this.#maximumBytes) return 'more bytes than the request asked for'
    return this.#areRising(ids) ? undefined : 'event ids that do not rise'
  }

  #areRising (ids: readonly string[]): boolean {
    return ids.every(id => {
      const lastId = this.#lastId
      this.#lastId = id
      return lastId === undefined || isAfter(id, lastId)
    })
  }
}

/** Whether an event may follow another one. What is no number has no order that is known here, and is not the same again. */
function isAfter (id: string, lastId: string): boolean {
  if (numberPattern.test(id) && numberPattern.test(lastId)) return Number(id) > Number(lastId)
  return id !== lastId
}
