/**
 * Requests ratings for answers and reports them to the version policy and to the roll-outs that
 * compare two versions. A missing rating is reported too, so that plans stop waiting for ratings.
 */
import type { ChatRequest, Clock, VersionName } from '../contract/index.ts'
import type { VersionPolicy } from '../choice/index.ts'
import type { Log, Metrics } from '../observe/index.ts'
import type { RatingService } from '../store/index.ts'
import type { RollOutMonitor } from './rollOutMonitor.ts'

/** Cost of one rating, in cost units. */
export const ratingCost = 60

/** Rating of an earlier step of the same request. */
export interface EarlierRating {
  readonly version: VersionName
  readonly rating: number
}

export interface AnswerRaterDependencies {
  readonly clock: Clock
  readonly ratings: RatingService
  readonly versions: VersionPolicy
  readonly rollOuts: RollOutMonitor
  readonly metrics: Metrics
  readonly log: Log
}

/** Rates answers and reports the ratings. */
export class AnswerRater {
  readonly #dependencies: AnswerRaterDependencies

  constructor (dependencies: AnswerRaterDependencies) {
    this.#dependencies = dependencies
  }

  /**
   * Rates an answer and reports the rating.
   *
   * @param earlierRatings ratings of earlier steps of the same request
   * @returns 0 to 100; undefined if the rating service was unavailable
   */
  async rate (request: ChatRequest, version: VersionName, answer: string, earlierRatings: readonly EarlierRating[]): Promise<number | undefined> {
    const { clock, metrics, ratings, rollOuts, versions } = this.#dependencies
    const { difficultyHint, kind, organisation } = request
    const prompt = request.messages.map(message => message.content).join('\n')
    const rated = await ratings.rate({ organisation, kind, prompt, answer })
    if (rated.err) {
      metrics.ratings.inc({ version, verdict: 'unavailable' })
      versions.observeRatingFailure(clock.now())
      return undefined
    }
    metrics.ratings.inc({ version, verdict: 'rated' })
    const at = clock.now()
    versions.observeRating({ organisation, kind, version, difficultyHint, rating: rated.val, at, earlierRatings })
    rollOuts.observe({ version, kind, rating: rated.val, difficultyHint, at })
    return rated.val
  }

  /** Rates an answer after its release, without waiting for the rating. */
  rateInBackground (request: ChatRequest, version: VersionName, answer: string): void {
    this.rate(request, version, answer, []).catch(error => this.#dependencies.log.error('rating_failed', { reason: String(error) }))
  }

  /** Reports an attempt that failed after it may have run. */
  observeFailure (request: ChatRequest, version: VersionName): void {
    const { kind, difficultyHint } = request
    this.#dependencies.rollOuts.observe({ version, kind, rating: undefined, difficultyHint, at: this.#dependencies.clock.now() })
  }
}
