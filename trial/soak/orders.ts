/**
 * What the soak orders its own processes to do. Each order is answered; a process whose channel to the soak has closed ends, so none
 * outlives it.
 */
import { TrialProcess, type TrialProcessOptions } from '../trialProcess.ts'
import type { StoreFault } from '../../platform/standin/index.ts'
import type { EndpointFault, LinkFault } from './faults.ts'

/** What a process of the soak does. */
export const Role = {
  Store: 'store',
  Endpoint: 'endpoint',
  Proxies: 'proxies',
  /** Keeps a processor busy when it is told to. */
  Load: 'load',
  /** Ends the gateways when the soak itself has been killed. */
  Guard: 'guard'
} as const
export type Role = typeof Role[keyof typeof Role]

/** Orders to the process of the store. */
export type StoreOrder =
  | { readonly order: 'put', readonly table: string, readonly key: string, readonly document: unknown }
  | { readonly order: 'read', readonly table: string, readonly key: string }
  | { readonly order: 'fault', readonly fault: StoreFault }
  | { readonly order: 'compact' }

/** Orders to the process of an endpoint. */
export type EndpointOrder =
  /** Registers the endpoint in the store at the address of its proxy, and keeps it there. */
  | { readonly order: 'register', readonly address: string }
  | { readonly order: 'fault', readonly fault: EndpointFault, readonly milliseconds: number }
  /** Reports that it leaves; it goes on serving. */
  | { readonly order: 'drain' }

/** Orders to the process of the proxies. */
export type ProxyOrder =
  /** Opens a proxy before an address; answered with the address of the proxy. */
  | { readonly order: 'open', readonly name: string, readonly target: string }
  /** Sends the further connections of a proxy to another address. */
  | { readonly order: 'retarget', readonly name: string, readonly target: string }
  | { readonly order: 'fault', readonly name: string, readonly fault: LinkFault, readonly milliseconds: number }

/** Orders to a process that keeps a processor busy. */
export type LoadOrder = { readonly order: 'work', readonly milliseconds: number }

/** Orders to the process that ends the gateways after the soak. */
export type GuardOrder =
  | { readonly order: 'watch', readonly processId: number }
  | { readonly order: 'forget', readonly processId: number }

interface OrderMessage<Order> {
  readonly id: number
  readonly order: Order
}

interface ReplyMessage {
  readonly id: number
  readonly value?: unknown
  readonly failure?: string
}

interface WaitingOrder {
  readonly resolve: (value: unknown) => void
  readonly reject: (error: Error) => void
}

/** Stands in the message by which a process tells that it is ready. */
const readyId = 0

/** A process of the soak that follows orders. */
export class OrderedProcess<Order extends { readonly order: string }> extends TrialProcess {
  /** The value that the process sends once it is ready for orders: its address, or an empty text. */
  readonly ready: Promise<unknown>
  readonly #waiting: Map<number, WaitingOrder>
  #nextId = readyId + 1

  constructor (options: Omit<TrialProcessOptions, 'onMessage'>) {
    const waiting = new Map<number, WaitingOrder>()
    super({
      ...options,
      onMessage: message => {
        const { id, value, failure } = message as ReplyMessage
        const reply = waiting.get(id)
        waiting.delete(id)
        if (failure === undefined) reply?.resolve(value)
        else reply?.reject(new Error(`${options.name}: ${failure}`))
      }
    })
    this.#waiting = waiting
    this.ready = new Promise((resolve, reject) => waiting.set(readyId, { resolve, reject }))
    this.ended.then(() => {
      for (const { reject } of waiting.values()) reject(new Error(`${options.name} ended before it answered`))
    })
  }

  /**
   * Gives an order and waits for its answer.
   *
   * @throws if the process can't follow it, or ends before it has
   */
  async order (order: Order): Promise<unknown> {
    if (!this.isRunning) throw new Error(`${this.name} has ended`)
    const id = this.#nextId++
    return await new Promise((resolve, reject) => {
      this.#waiting.set(id, { resolve, reject })
      this.send({ id, order } satisfies OrderMessage<Order>)
    })
  }
}

/** Follows the orders of the soak until the soak ends, and tells it the address of this process, if it has one. */
export function followOrders<Order> (address: string, follow: (order: Order) => unknown, onEnd: () => void = () => undefined): void {
  process.on('message', async message => {
    const { id, order } = message as OrderMessage<Order>
    const reply: ReplyMessage = await Promise.resolve(order).then(follow).then(value => ({ id, value }), error => ({ id, failure: String(error) }))
    process.send?.(reply)
  })
  process.on('disconnect', () => {
    onEnd()
    process.exit(0)
  })
  // The terminal sends SIGINT to all; the soak itself ends its processes.
  process.on('SIGINT', () => undefined)
  process.send?.({ id: readyId, value: address } satisfies ReplyMessage)
}
