/** What a trial can bring about at the platform's stand-in, one fault for each of its services. */
import { z } from 'zod'
import { sleep, replyJson, type HttpExchange } from './standInServer.ts'

/** The services that can fail. */
export const PlatformTarget = {
  Tables: 'tables',
  Objects: 'objects',
  VirtualMachines: 'virtual-machines',
  Ratings: 'ratings',
  Weights: 'weights',
  /** All of them. */
  All: 'all'
} as const
export type PlatformTarget = typeof PlatformTarget[keyof typeof PlatformTarget]

/** How a service fails. */
export const PlatformFault = {
  None: 'none',
  /** Every call is refused at once and not applied. */
  Down: 'down',
  /** Every call waits before it takes effect. */
  Slow: 'slow',
  /** Calls take effect, then the connection is cut. */
  LoseReplies: 'lose_replies',
  /** Calls neither take effect nor are answered. */
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

/** The faults in force. */
export class PlatformFaults {
  readonly #faultsByTarget = new Map<string, FaultRequest>()

  /** Puts a fault in force, as `POST /faults` asks. */
  apply (value: unknown): void {
    const request = faultRequestSchema.parse(value)
    const targets = request.target === PlatformTarget.All ? Object.values(PlatformTarget) : [request.target]
    for (const target of targets) this.#faultsByTarget.set(target, request)
  }

  /** Serves a visit under the fault of its service. */
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
