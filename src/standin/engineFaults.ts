/** What a trial can bring about at an engine's stand-in. */
import { z } from 'zod'
import type { VersionName } from '../contract/index.ts'
import type { Batch } from './batch.ts'
import type { HttpFrame } from './httpFrame.ts'
import type { WriterFate } from './streamWriter.ts'

/** How an engine fails. */
export const EngineFault = {
  None: 'none',
  /** Refuses connections for so many milliseconds and forgets what ran. */
  Die: 'die',
  /** Stands still for so many milliseconds: no token, no heartbeat, no answer. */
  Freeze: 'freeze',
  /** Runs slower by a factor. */
  Slow: 'slow',
  /** Streams that are open now get nothing more and stay open; new connections work. */
  Silent: 'silent',
  /** The next streams, so many `times`, are cut after so many `frames`. */
  Cut: 'cut',
  /** Answers of a version score fewer points. */
  BadVersion: 'bad_version'
} as const
export type EngineFault = typeof EngineFault[keyof typeof EngineFault]

const orderShape = z.object({
  fault: z.enum(EngineFault),
  milliseconds: z.number().nonnegative().default(0),
  factor: z.number().positive().default(1),
  frames: z.number().int().nonnegative().default(3),
  times: z.number().int().positive().default(1),
  version: z.string().default(''),
  points: z.number().default(20)
})
type FaultOrder = z.infer<typeof orderShape>

const pointsOfWholeSkill = 60

/** The faults in force at one engine. */
export class EngineFaults {
  readonly #batch: Batch
  readonly #fates = new Set<WriterFate>()
  readonly #lostPoints = new Map<string, number>()
  #cuts: number[] = []

  constructor (batch: Batch) {
    this.#batch = batch
  }

  /** Puts a fault in force, as `POST /faults` asks. */
  order (value: unknown, frame: HttpFrame | undefined, forget: () => void): void {
    const order = orderShape.parse(value)
    if (order.fault === EngineFault.None) this.#clear()
    if (order.fault === EngineFault.Die) this.#die(order, frame, forget)
    if (order.fault === EngineFault.Freeze) this.#batch.frozenUntil = Date.now() + order.milliseconds
    if (order.fault === EngineFault.Slow) this.#batch.slowness = order.factor
    if (order.fault === EngineFault.Silent) this.#silence()
    if (order.fault === EngineFault.Cut) this.#cuts = new Array<number>(order.times).fill(order.frames)
    if (order.fault === EngineFault.BadVersion) this.#lostPoints.set(order.version, order.points)
  }

  get isFrozen (): boolean {
    return this.#batch.frozenUntil > Date.now()
  }

  /** Skill that a version has lost, 0 to 1. */
  lostSkill (version: VersionName): number {
    return (this.#lostPoints.get(version) ?? 0) / pointsOfWholeSkill
  }

  /** Runs a writer under the faults that are in force and those to come. */
  async watch (run: (fate: WriterFate) => Promise<void>): Promise<void> {
    const fate: WriterFate = { silent: false, cutAfter: this.#cuts.shift() }
    this.#fates.add(fate)
    await run(fate)
    this.#fates.delete(fate)
  }

  #silence (): void {
    for (const fate of this.#fates) fate.silent = true
  }

  #die (order: FaultOrder, frame: HttpFrame | undefined, forget: () => void): void {
    setImmediate(() => {
      forget()
      frame?.takeAway(order.milliseconds).catch(() => undefined)
    })
  }

  #clear (): void {
    this.#batch.frozenUntil = 0
    this.#batch.slowness = 1
    this.#cuts = []
    this.#lostPoints.clear()
  }
}
