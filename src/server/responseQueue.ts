/** The open responses of one connection, in the order in which they leave, and the requests that wait for their turn. */
import type { ServerResponse } from 'node:http'
import type { ResponseTurn } from './responseTurn.ts'

type TurnListener = (hasCome: boolean) => void

/**
 * @example
 * queue.add(response)
 * if (await queue.turnOf(response).untilCome()) passOn(request)
 */
export class ResponseQueue {
  readonly #open = new Set<ServerResponse>()
  readonly #waiting = new Map<ServerResponse, TurnListener>()

  get size (): number {
    return this.#open.size
  }

  /** In the order in which they leave. */
  get all (): readonly ServerResponse[] {
    return [...this.#open]
  }

  /** Adds a response behind all others. */
  add (response: ServerResponse): void {
    this.#open.add(response)
  }

  /** Removes a response that is over. The next turn comes in a later round of the event loop, so that other connections are served in between. */
  remove (response: ServerResponse): void {
    if (!this.#open.delete(response)) return
    this.#waiting.delete(response)
    setImmediate(() => this.#tellFirst())
  }

  /** The turn of a response; it never comes for one that is over. */
  turnOf (response: ServerResponse): ResponseTurn {
    const hasCome = () => this.#first === response
    return {
      get hasCome () { return hasCome() },
      untilCome: () => this.#untilFirst(response)
    }
  }

  /** Ends all waits: no further turn comes. */
  close (): void {
    for (const tell of this.#waiting.values()) tell(false)
    this.#waiting.clear()
  }

  get #first (): ServerResponse | undefined {
    return this.#open.values().next().value
  }

  #untilFirst (response: ServerResponse): Promise<boolean> {
    if (this.#first === response || !this.#open.has(response)) return Promise.resolve(this.#first === response)
    return new Promise(resolve => this.#waiting.set(response, resolve))
  }

  #tellFirst (): void {
    const first = this.#first
    if (first === undefined) return
    this.#waiting.get(first)?.(true)
    this.#waiting.delete(first)
  }
}
