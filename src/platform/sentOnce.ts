/**
 * A handler that passes on everything but a second start. The HTTP library may queue a request
 * again when its connection breaks early; for a write that would be a second copy.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'

/** Prevents the HTTP library from sending a request again that it had begun to send. */
export class SentOnce implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler
  #isSent = false

  constructor (handler: Dispatcher.DispatchHandler) {
    this.#handler = handler
  }

  onRequestStart (controller: Dispatcher.DispatchController, context: unknown): void {
    if (this.#isSent) {
      controller.abort(new Error('not sent a second time'))
      return
    }
    this.#isSent = true
    this.#handler.onRequestStart?.(controller, context)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders, message?: string): void {
    this.#handler.onResponseStart?.(controller, status, headers, message)
  }

  onResponseData (controller: Dispatcher.DispatchController, bytes: Buffer): void {
    this.#handler.onResponseData?.(controller, bytes)
  }

  onResponseEnd (controller: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
    this.#handler.onResponseEnd?.(controller, trailers)
  }

  onResponseError (controller: Dispatcher.DispatchController, error: Error): void {
    this.#handler.onResponseError?.(controller, error)
  }
}
