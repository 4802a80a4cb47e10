/**
 * State of the version policy for one kind of request: the ability beliefs, the plans computed from
 * them, and the quality ledger of each organisation. The beliefs are shared by all organisations,
 * because they send the same kind of request to the same versions; the ledgers are not.
 */
import type { VersionName } from '../contract/index.ts'
import { ratingBinCount, ratingBinPoints, type VersionEstimate } from './cascadePlanner.ts'
import type { RatedAnswer, VersionCandidate } from './contract.ts'
import { cellCount, cellDifficulty, minimumRating, normalCumulative, expectedScore } from './ratingGrid.ts'
import { RatingDriftDetector } from './ratingDriftDetector.ts'
import { RatingModel } from './ratingModel.ts'
import type { RatingScale } from './ratingScale.ts'
import { QualityLedger } from './qualityLedger.ts'
import { RequestMix, PlanTable } from './planTable.ts'

/** Ratings that a version needs before plans use it. */
export const minimumRatingsToPlan = 14
/** Share of the evidence about a version that is kept after its quality dropped. */
const evidenceKeptAfterDrift = 0.02
/** Plans are recomputed after this share of new ratings, because beliefs with few ratings change quickly. */
const refreshRatingShare = 0.12
const minimumRefreshRatings = 10
const maximumRefreshRatings = 150
const kindDecayHorizonRequests = 4_000
const organisationDecayHorizonRequests = 500
/** Weight of the kind's request mix, in requests of an organisation. */
const kindMixWeightRequests = 40

/** Quality ledger and request mix of one organisation. */
export interface OrganisationQuality {
  readonly ledger: QualityLedger
  readonly requestMix: RequestMix
}

/** Beliefs, plans and ledgers of one kind of request. */
export class RequestKindState {
  readonly model: RatingModel
  readonly organisations = new Map<string, OrganisationQuality>()
  readonly requestMix = new RequestMix(kindDecayHorizonRequests)
  readonly #name: string
  readonly #scale: RatingScale
  readonly #goodRating: number
  readonly #ratingCost: number
  readonly #driftDetectors = new Map<VersionName, RatingDriftDetector>()
  readonly #tables = new Map<string, PlanTable>()
  readonly #levels = new Map<string, { goal: number, level: number, requests: number }>()
  #planInputs: readonly number[] = []
  #ratingsSinceRefresh = 0
  #scaleRevision: number
  #ratingCount = 0
  #meanWork = 0
  #openedSessions = 0
  #pinnedRequests = 0

  constructor (name: string, scale: RatingScale, goodRating: number, ratingCost: number) {
    this.#name = name
    this.#scale = scale
    this.#scaleRevision = scale.revision
    this.#goodRating = goodRating
    this.#ratingCost = ratingCost
    this.model = new RatingModel(scale, goodRating)
  }

  /** Returns the quality state of an organisation, created on first use. */
  organisation (name: string): OrganisationQuality {
    const known = this.organisations.get(name)
    if (known) return known
    const quality = { ledger: new QualityLedger(), requestMix: new RequestMix(organisationDecayHorizonRequests) }
    this.organisations.set(name, quality)
    return quality
  }

  /** Mean work of a request, in tokens that cost as much as a generated one. */
  get meanWork (): number {
    return this.#meanWork
  }

  /** Mean number of later turns of the observed sessions. */
  get pinnedTurns (): number {
    return this.#pinnedRequests / Math.max(1, this.#openedSessions)
  }

  /** Updates the mean work, in tokens that cost as much as a generated one. */
  countWork (work: number): void {
    this.#meanWork += (work - this.#meanWork) / Math.min(kindDecayHorizonRequests, this.requestMix.total + 1)
  }

  countSessionRequest (isPinned: boolean): void {
    if (isPinned) this.#pinnedRequests += 1
    else this.#openedSessions += 1
  }

  /** Whether a version has enough ratings to be used in plans. */
  hasEnoughRatings (version: VersionName): boolean {
    return this.model.ratingCount(version) >= minimumRatingsToPlan
  }

  /** Learns from a rating. */
  observe (answer: RatedAnswer): void {
    const { version, difficultyHint, earlierRatings: earlier = [], rating } = answer
    const shortfall = this.model.observe(version, difficultyHint, earlier, rating)
    const detector = this.#driftDetectors.get(version) ?? new RatingDriftDetector()
    this.#driftDetectors.set(version, detector)
    const hadEnoughRatings = this.model.ratingCount(version) > minimumRatingsToPlan + 1
    const drifted = hadEnoughRatings && detector.observe(shortfall)
    if (drifted) this.model.discount(version, evidenceKeptAfterDrift)
    this.#ratingCount += 1
    this.#ratingsSinceRefresh += 1
    const due = Math.min(maximumRefreshRatings, Math.max(minimumRefreshRatings, this.#ratingCount * refreshRatingShare))
    if (drifted || this.#ratingsSinceRefresh >= due) this.refresh()
  }

  /** Discards the plans if the beliefs have changed since the plans were made. */
  refresh (): void {
    this.#ratingsSinceRefresh = 0
    this.model.updateScale(this.#name)
    if (this.#scaleRevision !== this.#scale.revision) this.model.relearn()
    this.#scaleRevision = this.#scale.revision
    const inputs = this.#currentInputs()
    if (inputs.length === this.#planInputs.length && inputs.every((value, index) => Math.abs(value - this.#planInputs[index]!) < minimumInputChange)) return
    this.#planInputs = inputs
    this.#tables.clear()
    this.#levels.clear()
  }

  /** The inputs of planning, as numbers that can be compared. */
  #currentInputs (): number[] {
    const abilities = this.model.versions().flatMap(version => [this.model.cautiousAbility(version), this.hasEnoughRatings(version) ? 1 : 0])
    return [this.#scale.point.slope, this.#scale.point.noise, this.#scale.hintNoise, this.pinnedTurns / 50, ...abilities]
  }

  /** Returns the plan table of a set of versions, given cheapest first. */
  planTable (versions: readonly VersionCandidate[]): PlanTable {
    const key = versionsKey(versions)
    const known = this.#tables.get(key)
    if (known) return known
    const table = new PlanTable({
      estimates: versions.map(version => this.estimate(version)),
      ratingCost: this.#ratingCost,
      pinnedTurns: this.pinnedTurns,
      difficultyWeights: hint => this.model.difficultyWeights(hint, [])
    })
    this.#tables.set(key, table)
    return table
  }

  /** Value level at which an organisation's requests are planned, recomputed when its goal or its mix changes. */
  levelFor (organisation: string, goal: number, versions: readonly VersionCandidate[]): number {
    const quality = this.organisation(organisation)
    const key = `${organisation}\n${versionsKey(versions)}`
    const known = this.#levels.get(key)
    const moved = !known || Math.abs(known.goal - goal) > minimumGoalChange || quality.requestMix.total > known.requests * 1.2
    if (!moved) return known.level
    const ownWeight = quality.requestMix.total / (quality.requestMix.total + kindMixWeightRequests)
    const level = this.planTable(versions).levelFor(goal, [quality.requestMix, this.requestMix], [ownWeight, 1 - ownWeight])
    this.#levels.set(key, { goal, level, requests: quality.requestMix.total })
    return level
  }

  /** Estimates cost and quality of a version for planning. */
  estimate ({ name, price }: VersionCandidate): VersionEstimate {
    const goodByCell = this.model.goodProbabilityByCell(name)
    return {
      version: name,
      cost: price * this.#meanWork,
      goodProbabilityByCell: goodByCell,
      meanGoodProbability: goodByCell.reduce((sum, good) => sum + good, 0) / cellCount,
      ratingProbabilityByCell: this.#ratingProbabilityByCell(this.model.ability(name))
    }
  }

  #ratingProbabilityByCell (ability: number): Float64Array {
    const table = new Float64Array(ratingBinCount * cellCount)
    for (let cell = 0; cell < cellCount; cell++) {
      const score = expectedScore(ability - cellDifficulty(cell), this.#goodRating, this.#scale.point.slope)
      let below = 0
      for (let bin = 0; bin < ratingBinCount; bin++) {
        const upper = minimumRating + (bin + 1) * ratingBinPoints
        const next = bin === ratingBinCount - 1 ? 1 : normalCumulative((upper - score) / this.#scale.point.noise)
        table[bin * cellCount + cell] = Math.max(0, next - below)
        below = next
      }
    }
    return table
  }
}

/** Smaller changes of the inputs keep the plans. */
const minimumInputChange = 0.007
/** Smaller changes of a goal keep its value level. */
const minimumGoalChange = 0.001

function versionsKey (versions: readonly VersionCandidate[]): string {
  return versions.map(version => version.name).join(' ')
}
