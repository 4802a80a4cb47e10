/** The rating service of a run, and the truth that it reads with noise: what each answer is worth. */
import { modelOf, type Randomness, type VersionName } from '../src/contract/index.ts'
import type { EngineOptions } from './simulatedEngine.ts'
import type { VirtualTime } from './virtualTime.ts'
import { drawRating, drawDelay, trueScore, type World, type WorldRequest } from './world.ts'

/** A version that is worse than its model from a moment on. */
export interface BadVersion {
  readonly version: VersionName
  /** Points that its answers are worse. */
  readonly scoreDropPoints: number
  readonly fromMilliseconds: number
}

const outageIntervalMilliseconds = 60_000

/** Rates answers late, with noise, and not at all while it is out. */
export class SimulatedRatingService {
  readonly #world: World
  readonly #time: VirtualTime
  readonly #randomness: Randomness
  readonly #badVersion: BadVersion | undefined
  readonly #outageByInterval = new Map<number, boolean>()

  constructor (world: World, time: VirtualTime, randomness: Randomness, badVersion: BadVersion | undefined) {
    this.#world = world
    this.#time = time
    this.#randomness = randomness
    this.#badVersion = badVersion
  }

  /** Whether a version is bad at a moment. */
  isBad (version: VersionName, at: number): boolean {
    return this.#badVersion?.version === version && at >= this.#badVersion.fromMilliseconds
  }

  /** The true score of an answer, which no policy sees. */
  scoreOf ({ version, versionName }: Pick<EngineOptions, 'version' | 'versionName'>, request: WorldRequest, at: number): number {
    const scoreShift = this.isBad(versionName, at) ? -this.#badVersion!.scoreDropPoints : 0
    return trueScore(this.#world, version, request.kind.name, request.difficulty, scoreShift)
  }

  /** The model's world version of a name. */
  modelVersion (name: VersionName) {
    return this.#world.versions.find(version => version.name === modelOf(name))!
  }

  /** Rates an answer; the rating is undefined while the service is out. */
  rate (score: number, onRating: (rating: number | undefined) => void): void {
    const delayMilliseconds = drawDelay(this.#world.ratingMilliseconds, this.#randomness)
    const rating = drawRating(this.#world, score, this.#randomness)
    const isUnavailable = this.#isUnavailable(this.#time.now())
    this.#time.after(delayMilliseconds, () => onRating(isUnavailable ? undefined : rating))
  }

  #isUnavailable (now: number): boolean {
    const interval = Math.floor(now / outageIntervalMilliseconds)
    const known = this.#outageByInterval.get(interval)
    if (known !== undefined) return known
    const isUnavailable = this.#randomness.fraction() < this.#world.ratingOutageShare
    this.#outageByInterval.set(interval, isUnavailable)
    return isUnavailable
  }
}
