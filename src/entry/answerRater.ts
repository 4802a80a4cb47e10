/**
 * Has answers rated, and passes on what was learned: to the version policy, and to the roll-outs that
 * compare two versions. A rating that does not come is told too, so that plans stop waiting for one.
 */
import type { ChatRequest, Clock, VersionName } from '../contract/index.ts'
import type { VersionPolicy } from '../choice/index.ts'
import type { Log, Metrics } from '../observe/index.ts'
import type { RatingService } from '../store/index.ts'
import type { RollOutMonitor } from './rollOutMonitor.ts'

/** Cost units of one rating. */
export const ratingCost = 60

/** A rating that an earlier step of the same request was given. */
export interface EarlierRating {
  readonly version: VersionName
  readonly rating: number
}

/** What the rater works with. */
export interface AnswerRaterDependencies {
  readonly clock: Clock
  readonly ratings: RatingService
  readonly versions: VersionPolicy
  readonly rollOuts: RollOutMonitor
  readonly metrics: Metrics
  readonly log: Log
}

/** Has answers rated and learns from them. */
export class AnswerRater {
  readonly #dependencies: AnswerRaterDependencies

  constructor (dependencies: AnswerRaterDependencies) {
    this.#dependencies = dependencies
  }

  /**
   * Rates an answer and learns from it.
   *
   * @param earlierRatings ratings of earlier steps of the same request
   * @returns 0 to 100; undefined where no rating was to be had
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

  /** Rates an answer that was released already. */
  rateInBackground (request: ChatRequest, version: VersionName, answer: string): void {
    this.rate(request, version, answer, []).catch(error => this.#dependencies.log.error('rating_failed', { reason: String(error) }))
  }

  /** Learns that a version's attempt failed after it may have run. */
  observeFailure (request: ChatRequest, version: VersionName): void {
    const { kind, difficultyHint } = request
    this.#dependencies.rollOuts.observe({ version, kind, rating: undefined, difficultyHint, at: this.#dependencies.clock.now() })
  }
}
