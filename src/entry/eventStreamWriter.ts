/**
 * Writes server-sent events to one caller with backpressure. Each write waits until the socket can
 * buffer more, so a slow caller delays only its own stream. A caller that reads nothing until the
 * request's deadline is disconnected.
 */
import type { ServerResponse } from 'node:http'

/** Whether a stream can be written to. */
export const StreamState = {
  Open: 'open',
  Disconnected: 'gone'
} as const
export type StreamState = typeof StreamState[keyof typeof StreamState]

/** Writes events to a response. */
export class EventStreamWriter {
  readonly #response: ServerResponse
  readonly #remainingMilliseconds: () => number

  /** @param remainingMilliseconds returns the milliseconds until the request's deadline */
  constructor (response: ServerResponse, remainingMilliseconds: () => number) {
    this.#response = response
    this.#remainingMilliseconds = remainingMilliseconds
  }

  /** Writes one event and waits for the socket buffer to drain. */
  async send (data: unknown): Promise<StreamState> {
    return await this.#write(`data: ${JSON.stringify(data)}\n\n`)
  }

  /** Writes `[DONE]`, which marks a complete stream, and ends the response. */
  finish (): void {
    this.#response.end('data: [DONE]\n\n')
  }

  /** Ends the response without `[DONE]`. */
  end (): void {
    this.#response.end()
  }

  async #write (text: string): Promise<StreamState> {
    if (this.#response.destroyed) return StreamState.Disconnected
    if (this.#response.write(text)) return StreamState.Open
    return await this.#waitForDrain()
  }

  #waitForDrain (): Promise<StreamState> {
    return new Promise(resolve => {
      const settle = (state: StreamState) => {
        clearTimeout(timer)
        this.#response.off('drain', onDrain)
        this.#response.off('close', onClose)
        resolve(state)
      }
      const onDrain = () => settle(StreamState.Open)
      const onClose = () => settle(StreamState.Disconnected)
      const timer = setTimeout(() => {
        this.#response.destroy()
        onClose()
      }, Math.max(0, this.#remainingMilliseconds()))
      this.#response.once('drain', onDrain)
      this.#response.once('close', onClose)
    })
  }
}
