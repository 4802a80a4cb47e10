/** The faults that a trial can inject into the platform stand-in, one at a time for each of its services. */
import * as z from 'zod'
import { sleep, replyJson, type HttpExchange } from './standInServer.ts'

/** The services that a fault can target. */
export const PlatformTarget = {
  Tables: 'tables',
  Objects: 'objects',
  VirtualMachines: 'virtual-machines',
  Ratings: 'ratings',
  Weights: 'weights',
  /** All services. */
  All: 'all'
} as const
export type PlatformTarget = typeof PlatformTarget[keyof typeof PlatformTarget]

/** Kinds of fault, as `POST /faults` names them. */
export const PlatformFault = {
  None: 'none',
  /** Refuses every call at once, without applying it. */
  Down: 'down',
  /** Delays every call by `milliseconds` before applying it. */
  Slow: 'slow',
  /** Applies every call, then cuts the connection instead of replying. */
  LoseReplies: 'lose_replies',
  /** Neither applies nor answers any call. */
  Hang: 'hang'
} as const
export type PlatformFault = typeof PlatformFault[keyof typeof PlatformFault]

const faultRequestSchema = z.object({
  target: z.enum(PlatformTarget),
  fault: z.enum(PlatformFault),
  milliseconds: z.number().nonnegative().default(0)
})
type FaultRequest = z.infer<typeof faultRequestSchema>

const unavailableStatus = 503

/** The active fault of each service. */
export class PlatformFaults {
  readonly #faultsByTarget = new Map<string, FaultRequest>()

  /** Activates the fault in the body of `POST /faults`. */
  apply (value: unknown): void {
    const request = faultRequestSchema.parse(value)
    const targets = request.target === PlatformTarget.All ? Object.values(PlatformTarget) : [request.target]
    for (const target of targets) this.#faultsByTarget.set(target, request)
  }

  /** Serves a request under the active fault of its service. */
  async serveWithFault (target: string, exchange: HttpExchange, serve: (exchange: HttpExchange) => Promise<void>): Promise<void> {
    const request = this.#faultsByTarget.get(target)
    if (request === undefined || request.fault === PlatformFault.None) return serve(exchange)
    if (request.fault === PlatformFault.Hang) return
    if (request.fault === PlatformFault.Down) return replyJson(exchange, unavailableStatus, { applied: false })
    if (request.fault === PlatformFault.Slow) {
      await sleep(request.milliseconds)
      return serve(exchange)
    }
    await serve({ ...exchange, isReplyDropped: true })
    exchange.socket.destroy()
  }
}
