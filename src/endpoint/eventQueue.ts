/** The events of an exchange that its reader has not taken yet. Pieces of data that have arrived are taken as one event. */
import { invariant } from '../contract/index.ts'
import type { ExchangeEvent } from './exchangeContract.ts'

/**
 * @example
 * queue.push({ type: 'data', bytes })
 * const event = queue.take()
 */
export class EventQueue {
  readonly #events: ExchangeEvent[] = []
  #bufferedBytes = 0
  #wakeReader: (() => void) | undefined

  /** Bytes of data that were not taken. */
  get bufferedBytes (): number {
    return this.#bufferedBytes
  }

  /** Adds an event and wakes the reader. */
  push (event: ExchangeEvent): void {
    if (event.type === 'data') this.#bufferedBytes += event.bytes.length
    this.#events.push(event)
    this.wake()
  }

  /** Takes the next event; undefined if there is none. */
  take (): ExchangeEvent | undefined {
    const event = this.#takeJoined()
    if (event?.type !== 'data') return event
    this.#bufferedBytes -= event.bytes.length
    invariant(this.#bufferedBytes >= 0, 'buffered bytes are counted', () => ({ bufferedBytes: this.#bufferedBytes }))
    return event
  }

  clear (): void {
    this.#events.length = 0
    this.#bufferedBytes = 0
  }

  /** Calls a function once when there is an event; replaces the one of an earlier call. */
  wakeOnEvent (wake: () => void): void {
    this.#wakeReader = wake
  }

  /** Wakes the reader. */
  wake (): void {
    const wake = this.#wakeReader
    this.#wakeReader = undefined
    wake?.()
  }

  #takeJoined (): ExchangeEvent | undefined {
    const first = this.#events.shift()
    if (first?.type !== 'data' || this.#events[0]?.type !== 'data') return first
    const pieces = [first.bytes]
    for (let next = this.#events[0]; next?.type === 'data'; next = this.#events[0]) {
      pieces.push(next.bytes)
      this.#events.shift()
    }
    return { type: 'data', bytes: Buffer.concat(pieces) }
  }
}
