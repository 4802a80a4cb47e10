/** A simulated rating service, which returns the true score of an answer with noise. */
import { modelOf, type Randomness, type VersionName } from '../src/contract/index.ts'
import type { EngineOptions } from './simulatedEngine.ts'
import type { VirtualTime } from './virtualTime.ts'
import { drawRating, drawDelay, trueScore, type World, type WorldRequest } from './world.ts'

/** A version whose answers score lower than its model's from a given time on. */
export interface BadVersion {
  readonly version: VersionName
  /** Points subtracted from the true scores. */
  readonly scoreDropPoints: number
  readonly fromMilliseconds: number
}

const outageIntervalMilliseconds = 60_000

/** Rates answers with delay and noise; ratings fail during outages, which last whole intervals of a minute. */
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

  /** Whether the version is the bad one and its scores have dropped by this time. */
  isBad (version: VersionName, at: number): boolean {
    return this.#badVersion?.version === version && at >= this.#badVersion.fromMilliseconds
  }

  /** The true score of an answer, which is hidden from the policies. */
  scoreOf ({ version, versionName }: Pick<EngineOptions, 'version' | 'versionName'>, request: WorldRequest, at: number): number {
    const scoreShift = this.isBad(versionName, at) ? -this.#badVersion!.scoreDropPoints : 0
    return trueScore(this.#world, version, request.kind.name, request.difficulty, scoreShift)
  }

  /** Finds the world's version for the model of a version name. */
  modelVersion (name: VersionName) {
    return this.#world.versions.find(version => version.name === modelOf(name))!
  }

  /** Calls back with the rating, or with undefined if the service was unavailable at the time of the call. */
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
