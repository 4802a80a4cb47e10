/** What a trial can bring about at the platform's stand-in, one fault for each of its services. */
import { z } from 'zod'
import { pause, replyJson, type Visit } from './httpFrame.ts'

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

const orderShape = z.object({
  target: z.enum(PlatformTarget),
  fault: z.enum(PlatformFault),
  milliseconds: z.number().nonnegative().default(0)
})
type FaultOrder = z.infer<typeof orderShape>

const unavailableStatus = 503

/** The faults in force. */
export class PlatformFaults {
  readonly #faults = new Map<string, FaultOrder>()

  /** Puts a fault in force, as `POST /faults` asks. */
  order (value: unknown): void {
    const order = orderShape.parse(value)
    const targets = order.target === PlatformTarget.All ? Object.values(PlatformTarget) : [order.target]
    for (const target of targets) this.#faults.set(target, order)
  }

  /** Serves a visit under the fault of its service. */
  async run (target: string, visit: Visit, serve: (visit: Visit) => Promise<void>): Promise<void> {
    const order = this.#faults.get(target)
    if (order === undefined || order.fault === PlatformFault.None) return serve(visit)
    if (order.fault === PlatformFault.Hang) return
    if (order.fault === PlatformFault.Down) return replyJson(visit, unavailableStatus, { applied: false })
    if (order.fault === PlatformFault.Slow) {
      await pause(order.milliseconds)
      return serve(visit)
    }
    await serve({ ...visit, isMuted: true })
    visit.socket.destroy()
  }
}
