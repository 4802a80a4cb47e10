/** The rating service of a run, and the truth that it reads with noise: what each answer is worth. */
import { modelOf, type Randomness, type VersionName } from '../src/contract/index.ts'
import type { EngineParts } from './engine.ts'
import type { VirtualTime } from './virtualTime.ts'
import { drawRating, drawWait, trueScore, type World, type WorldRequest } from './world.ts'

/** A version that is worse than its model from a moment on. */
export interface BadVersion {
  readonly version: VersionName
  /** Points that its answers are worse. */
  readonly points: number
  readonly fromMilliseconds: number
}

const outageMilliseconds = 60_000

/** Rates answers late, with noise, and not at all while it is out. */
export class Ratings {
  readonly #world: World
  readonly #time: VirtualTime
  readonly #randomness: Randomness
  readonly #bad: BadVersion | undefined
  readonly #outages = new Map<number, boolean>()

  constructor (world: World, time: VirtualTime, randomness: Randomness, bad: BadVersion | undefined) {
    this.#world = world
    this.#time = time
    this.#randomness = randomness
    this.#bad = bad
  }

  /** Whether a version is bad at a moment. */
  isBad (version: VersionName, at: number): boolean {
    return this.#bad?.version === version && at >= this.#bad.fromMilliseconds
  }

  /** The true score of an answer, which no policy sees. */
  scoreOf ({ version, versionName }: Pick<EngineParts, 'version' | 'versionName'>, request: WorldRequest, at: number): number {
    const shift = this.isBad(versionName, at) ? -this.#bad!.points : 0
    return trueScore(this.#world, version, request.kind.name, request.difficulty, shift)
  }

  /** The model's world version of a name. */
  modelVersion (name: VersionName) {
    return this.#world.versions.find(version => version.name === modelOf(name))!
  }

  /** Rates an answer; the rating is undefined while the service is out. */
  rate (score: number, then: (rating: number | undefined) => void): void {
    const wait = drawWait(this.#world.ratingMilliseconds, this.#randomness)
    const rating = drawRating(this.#world, score, this.#randomness)
    const out = this.#isOut(this.#time.now())
    this.#time.after(wait, () => then(out ? undefined : rating))
  }

  #isOut (now: number): boolean {
    const stretch = Math.floor(now / outageMilliseconds)
    const known = this.#outages.get(stretch)
    if (known !== undefined) return known
    const out = this.#randomness.fraction() < this.#world.ratingOutageShare
    this.#outages.set(stretch, out)
    return out
  }
}
