/**
 * Server-sent events to one caller. Each write waits until the caller has room, so that a slow caller
 * holds back its own stream and nothing else; one that takes nothing until its deadline is cut off.
 */
import type { ServerResponse } from 'node:http'

/** Why a stream could not go on. */
export const StreamState = {
  Open: 'open',
  Gone: 'gone'
} as const
export type StreamState = typeof StreamState[keyof typeof StreamState]

/** Writes events to a response. */
export class EventStream {
  readonly #response: ServerResponse
  readonly #millisecondsLeft: () => number

  /** @param millisecondsLeft until the request's deadline */
  constructor (response: ServerResponse, millisecondsLeft: () => number) {
    this.#response = response
    this.#millisecondsLeft = millisecondsLeft
  }

  /** Writes one event and waits for room. */
  async send (data: unknown): Promise<StreamState> {
    return await this.#write(`data: ${JSON.stringify(data)}\n\n`)
  }

  /** Writes the mark of a whole stream and ends the response. */
  finish (): void {
    this.#response.end('data: [DONE]\n\n')
  }

  /** Ends the response without the mark of a whole stream. */
  end (): void {
    this.#response.end()
  }

  async #write (text: string): Promise<StreamState> {
    if (this.#response.destroyed) return StreamState.Gone
    if (this.#response.write(text)) return StreamState.Open
    return await this.#room()
  }

  #room (): Promise<StreamState> {
    return new Promise(resolve => {
      const finish = (state: StreamState) => {
        clearTimeout(timer)
        this.#response.off('drain', open)
        this.#response.off('close', gone)
        resolve(state)
      }
      const open = () => finish(StreamState.Open)
      const gone = () => finish(StreamState.Gone)
      const timer = setTimeout(() => {
        this.#response.destroy()
        gone()
      }, Math.max(0, this.#millisecondsLeft()))
      this.#response.once('drain', open)
      this.#response.once('close', gone)
    })
  }
}
