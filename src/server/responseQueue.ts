/** The open responses of one connection, in the order in which they leave, and the requests that wait for their turn. */
import type { ServerResponse } from 'node:http'
import type { ResponseTurn } from './responseTurn.ts'

type TurnListener = (hasCome: boolean) => void

/** Requests of one connection that are worked on at a time, all but one of them up to their turn; what is read of further ones takes less memory. */
const maximumStarted = 16

/**
 * @example
 * queue.add(response)
 * if (await queue.turnOf(response).untilCome()) passOn(request)
 */
export class ResponseQueue {
  /** With the moment of each one's arrival, in milliseconds of the process. */
  readonly #open = new Map<ServerResponse, number>()
  readonly #waiting = new Map<ServerResponse, TurnListener>()
  readonly #unstarted = new Map<ServerResponse, () => void>()
  #isClosed = false

  get size (): number {
    return this.#open.size
  }

  /** In the order in which they leave. */
  get all (): readonly ServerResponse[] {
    return [...this.#open.keys()]
  }

  /** Adds a response behind all others. */
  add (response: ServerResponse): void {
    this.#open.set(response, performance.now())
  }

  /** Removes a response that is over. The next turn comes in a later round of the event loop, so that other connections are served in between. */
  remove (response: ServerResponse): void {
    if (!this.#open.delete(response)) return
    this.#waiting.delete(response)
    this.#unstarted.delete(response)
    setImmediate(() => this.#advance())
  }

  /** Starts the work on a request up to its turn, once few others of its connection are worked on. */
  start (response: ServerResponse, start: () => void): void {
    if (this.#startedCount < maximumStarted) start()
    else this.#unstarted.set(response, start)
  }

  /** The turn of a response; it never comes for one that is over. */
  turnOf (response: ServerResponse): ResponseTurn {
    const hasCome = () => this.#isFirst(response)
    const arrivedAt = this.#open.get(response) ?? performance.now()
    return {
      get hasCome () { return hasCome() },
      get millisecondsSinceArrival () { return performance.now() - arrivedAt },
      untilCome: () => this.#untilFirst(response)
    }
  }

  /** Ends all waits: no further turn comes. */
  close (): void {
    this.#isClosed = true
    for (const tell of this.#waiting.values()) tell(false)
    this.#waiting.clear()
    this.#unstarted.clear()
  }

  /** Without the latest response, whose work is about to be started. */
  get #startedCount (): number {
    return this.#open.size - this.#unstarted.size - 1
  }

  get #first (): ServerResponse | undefined {
    return this.#open.keys().next().value
  }

  #isFirst (response: ServerResponse): boolean {
    return !this.#isClosed && this.#first === response
  }

  #untilFirst (response: ServerResponse): Promise<boolean> {
    if (this.#isClosed || this.#isFirst(response) || !this.#open.has(response)) return Promise.resolve(this.#isFirst(response))
    return new Promise(resolve => this.#waiting.set(response, resolve))
  }

  #advance (): void {
    const first = this.#first
    if (first === undefined) return
    this.#waiting.get(first)?.(true)
    this.#waiting.delete(first)
    this.#startNext()
  }

  #startNext (): void {
    const next = this.#unstarted.entries().next().value
    if (next === undefined) return
    const [response, start] = next
    this.#unstarted.delete(response)
    start()
  }
}
