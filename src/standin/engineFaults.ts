/** The faults that a trial can inject into an engine stand-in. */
import * as z from 'zod'
import type { VersionName } from '../contract/index.ts'
import type { Batch } from './batch.ts'
import type { StandInServer } from './standInServer.ts'
import type { WriterFault } from './streamWriter.ts'

/** Kinds of fault, as `POST /faults` names them. */
export const EngineFault = {
  None: 'none',
  /** Refuses connections for `milliseconds` and cancels all generations. */
  Die: 'die',
  /** Stalls for `milliseconds`: no tokens, no heartbeats, no responses. */
  Freeze: 'freeze',
  /** Slows prefill and decoding down by `factor`. */
  Slow: 'slow',
  /** Sends nothing more on the streams that are open now, without closing them; new connections work. */
  Silent: 'silent',
  /** Cuts the connections of the next `times` streams after `frames` frames each. */
  Cut: 'cut',
  /** Lowers the true score of a version's answers by `points`. */
  BadVersion: 'bad_version'
} as const
export type EngineFault = typeof EngineFault[keyof typeof EngineFault]

const faultRequestSchema = z.object({
  fault: z.enum(EngineFault),
  milliseconds: z.number().nonnegative().default(0),
  factor: z.number().positive().default(1),
  frames: z.number().int().nonnegative().default(3),
  times: z.number().int().positive().default(1),
  version: z.string().default(''),
  points: z.number().default(20)
})
type FaultRequest = z.infer<typeof faultRequestSchema>

const pointsPerSkillUnit = 60

/** The active faults of one engine. */
export class EngineFaults {
  readonly #batch: Batch
  readonly #activeWriters = new Set<WriterFault>()
  readonly #lostPointsByVersion = new Map<string, number>()
  #pendingCuts: number[] = []

  constructor (batch: Batch) {
    this.#batch = batch
  }

  /** Activates the fault in the body of `POST /faults`. */
  apply (value: unknown, server: StandInServer | undefined, cancelGenerations: () => void): void {
    const request = faultRequestSchema.parse(value)
    if (request.fault === EngineFault.None) this.#clear()
    if (request.fault === EngineFault.Die) this.#crash(request, server, cancelGenerations)
    if (request.fault === EngineFault.Freeze) this.#batch.frozenUntil = Date.now() + request.milliseconds
    if (request.fault === EngineFault.Slow) this.#batch.slowdownFactor = request.factor
    if (request.fault === EngineFault.Silent) this.#silenceWriters()
    if (request.fault === EngineFault.Cut) this.#pendingCuts = new Array<number>(request.times).fill(request.frames)
    if (request.fault === EngineFault.BadVersion) this.#lostPointsByVersion.set(request.version, request.points)
  }

  get isFrozen (): boolean {
    return this.#batch.frozenUntil > Date.now()
  }

  /** The skill that a version has lost through `BadVersion`, on the scale of skills (0 to 1). */
  skillLoss (version: VersionName): number {
    return (this.#lostPointsByVersion.get(version) ?? 0) / pointsPerSkillUnit
  }

  /** Runs a writer that obeys the active faults and those activated while it runs. */
  async runWriter (run: (fault: WriterFault) => Promise<void>): Promise<void> {
    const fault: WriterFault = { isSilent: false, cutAfterFrames: this.#pendingCuts.shift() }
    this.#activeWriters.add(fault)
    await run(fault)
    this.#activeWriters.delete(fault)
  }

  #silenceWriters (): void {
    for (const fault of this.#activeWriters) fault.isSilent = true
  }

  #crash (request: FaultRequest, server: StandInServer | undefined, cancelGenerations: () => void): void {
    setImmediate(() => {
      cancelGenerations()
      server?.restartAfter(request.milliseconds).catch(() => undefined)
    })
  }

  #clear (): void {
    this.#batch.frozenUntil = 0
    this.#batch.slowdownFactor = 1
    this.#pendingCuts = []
    this.#lostPointsByVersion.clear()
  }
}
