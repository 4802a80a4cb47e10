/** What a trial can bring about at an engine's stand-in. */
import { z } from 'zod'
import type { VersionName } from '../contract/index.ts'
import type { Batch } from './batch.ts'
import type { StandInServer } from './standInServer.ts'
import type { WriterFault } from './streamWriter.ts'

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

/** The faults in force at one engine. */
export class EngineFaults {
  readonly #batch: Batch
  readonly #activeWriters = new Set<WriterFault>()
  readonly #lostPointsByVersion = new Map<string, number>()
  #pendingCuts: number[] = []

  constructor (batch: Batch) {
    this.#batch = batch
  }

  /** Puts a fault in force, as `POST /faults` asks. */
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

  /** Skill that a version has lost, 0 to 1. */
  skillLoss (version: VersionName): number {
    return (this.#lostPointsByVersion.get(version) ?? 0) / pointsPerSkillUnit
  }

  /** Runs a writer under the faults that are in force and those to come. */
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
