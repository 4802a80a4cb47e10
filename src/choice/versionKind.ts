/**
 * What the policy keeps for one kind of request: its beliefs about versions, the plans made from
 * them, and each organisation's account of quality. Beliefs are shared by all organisations, for
 * they ask the same versions the same kind of thing; the accounts are not.
 */
import type { VersionName } from '../contract/index.ts'
import { ratingBinCount, ratingBinPoints, type VersionOutlook } from './cascadePlanner.ts'
import type { RatedAnswer, VersionCandidate } from './contract.ts'
import { cellCount, cellDifficulty, lowestRating, normalBelow, scoreAt } from './ratingGrid.ts'
import { RatingDriftWatch } from './ratingDriftWatch.ts'
import { RatingModel } from './ratingModel.ts'
import type { RatingScale } from './ratingScale.ts'
import { QualityLedger } from './versionLedger.ts'
import { ContextCounts, PlanTable } from './versionPlanTable.ts'

/** Ratings from which a version is planned with. */
export const settledRatings = 14
/** After a version turned bad, the share of its evidence that still counts. */
const keptAfterDrift = 0.02
/** Beliefs that rest on few ratings move fast: plans are made anew after this share of them. */
const refreshShare = 0.12
const refreshFewest = 10
const refreshMost = 150
const kindMemoryRequests = 4_000
const organisationMemoryRequests = 500
/** The kind's mix counts as this many requests of an organisation. */
const kindMixRequests = 40

/** The account of one organisation. */
export interface OrganisationQuality {
  readonly ledger: QualityLedger
  readonly contexts: ContextCounts
}

/** What is kept for one kind of request. */
export class VersionKind {
  readonly model: RatingModel
  readonly organisations = new Map<string, OrganisationQuality>()
  readonly contexts = new ContextCounts(kindMemoryRequests)
  readonly #name: string
  readonly #scale: RatingScale
  readonly #goodRating: number
  readonly #ratingCost: number
  readonly #watches = new Map<VersionName, RatingDriftWatch>()
  readonly #tables = new Map<string, PlanTable>()
  readonly #levels = new Map<string, { goal: number, level: number, requests: number }>()
  #plannedOn: readonly number[] = []
  #ratingsSinceRefresh = 0
  #learnedAt: number
  #ratings = 0
  #work = 0
  #opened = 0
  #bound = 0

  constructor (name: string, scale: RatingScale, goodRating: number, ratingCost: number) {
    this.#name = name
    this.#scale = scale
    this.#learnedAt = scale.revision
    this.#goodRating = goodRating
    this.#ratingCost = ratingCost
    this.model = new RatingModel(scale, goodRating)
  }

  /** The account of an organisation. */
  organisation (name: string): OrganisationQuality {
    const known = this.organisations.get(name)
    if (known) return known
    const quality = { ledger: new QualityLedger(), contexts: new ContextCounts(organisationMemoryRequests) }
    this.organisations.set(name, quality)
    return quality
  }

  /** Mean work of a request, in tokens that cost as much as a generated one. */
  get work (): number {
    return this.#work
  }

  /** Mean later turns of a session, from the sessions seen. */
  get boundTurns (): number {
    return this.#bound / Math.max(1, this.#opened)
  }

  /** Counts a request's work, in tokens that cost as much as a generated one. */
  countWork (work: number): void {
    this.#work += (work - this.#work) / Math.min(kindMemoryRequests, this.contexts.total + 1)
  }

  countSession (bound: boolean): void {
    if (bound) this.#bound += 1
    else this.#opened += 1
  }

  /** Whether a version's quality is known well enough to plan with it. */
  settled (version: VersionName): boolean {
    return this.model.ratings(version) >= settledRatings
  }

  /** Learns from a rating. */
  observe (answer: RatedAnswer): void {
    const { version, difficultyHint, earlier = [], rating } = answer
    const shortfall = this.model.observe(version, difficultyHint, earlier, rating)
    const watch = this.#watches.get(version) ?? new RatingDriftWatch()
    this.#watches.set(version, watch)
    const wasSettled = this.model.ratings(version) > settledRatings + 1
    const drifted = wasSettled && watch.observe(shortfall)
    if (drifted) this.model.forget(version, keptAfterDrift)
    this.#ratings += 1
    this.#ratingsSinceRefresh += 1
    const due = Math.min(refreshMost, Math.max(refreshFewest, this.#ratings * refreshShare))
    if (drifted || this.#ratingsSinceRefresh >= due) this.refresh()
  }

  /** Makes plans anew from now on, if beliefs have moved since they were made. */
  refresh (): void {
    this.#ratingsSinceRefresh = 0
    this.model.informScale(this.#name)
    if (this.#learnedAt !== this.#scale.revision) this.model.relearn()
    this.#learnedAt = this.#scale.revision
    const ground = this.#ground()
    if (ground.length === this.#plannedOn.length && ground.every((value, index) => Math.abs(value - this.#plannedOn[index]!) < groundStep)) return
    this.#plannedOn = ground
    this.#tables.clear()
    this.#levels.clear()
  }

  /** What plans are made from, as plain numbers. */
  #ground (): number[] {
    const limits = this.model.versions().flatMap(version => [this.model.cautiousLimit(version), this.settled(version) ? 1 : 0])
    return [this.#scale.point.slope, this.#scale.point.noise, this.#scale.hintNoise, this.boundTurns / 50, ...limits]
  }

  /** The plans for a set of versions, cheapest first. */
  table (versions: readonly VersionCandidate[]): PlanTable {
    const key = keyOf(versions)
    const known = this.#tables.get(key)
    if (known) return known
    const table = new PlanTable({
      outlooks: versions.map(version => this.outlook(version)),
      ratingCost: this.#ratingCost,
      boundTurns: this.boundTurns,
      weightsOf: hint => this.model.weights(hint, [])
    })
    this.#tables.set(key, table)
    return table
  }

  /** The level of worth that an organisation's requests are planned at, found anew as its goal moves. */
  levelFor (organisation: string, goal: number, versions: readonly VersionCandidate[]): number {
    const quality = this.organisation(organisation)
    const key = `${organisation}\n${keyOf(versions)}`
    const known = this.#levels.get(key)
    const moved = !known || Math.abs(known.goal - goal) > goalStep || quality.contexts.total > known.requests * 1.2
    if (!moved) return known.level
    const ownWeight = quality.contexts.total / (quality.contexts.total + kindMixRequests)
    const level = this.table(versions).levelFor(goal, [quality.contexts, this.contexts], [ownWeight, 1 - ownWeight])
    this.#levels.set(key, { goal, level, requests: quality.contexts.total })
    return level
  }

  /** What planning knows of a version. */
  outlook ({ name, price }: VersionCandidate): VersionOutlook {
    const goodByCell = this.model.goodByCell(name)
    return {
      version: name,
      cost: price * this.#work,
      goodByCell,
      goodOverall: goodByCell.reduce((sum, good) => sum + good, 0) / cellCount,
      ratingByCell: this.#ratingByCell(this.model.limit(name))
    }
  }

  #ratingByCell (limit: number): Float64Array {
    const table = new Float64Array(ratingBinCount * cellCount)
    for (let cell = 0; cell < cellCount; cell++) {
      const score = scoreAt(limit - cellDifficulty(cell), this.#goodRating, this.#scale.point.slope)
      let below = 0
      for (let bin = 0; bin < ratingBinCount; bin++) {
        const upper = lowestRating + (bin + 1) * ratingBinPoints
        const next = bin === ratingBinCount - 1 ? 1 : normalBelow((upper - score) / this.#scale.point.noise)
        table[bin * cellCount + cell] = Math.max(0, next - below)
        below = next
      }
    }
    return table
  }
}

/** Beliefs that moved by less leave the plans as they are. */
const groundStep = 0.007
/** A goal that moved by less keeps its level. */
const goalStep = 0.001

function keyOf (versions: readonly VersionCandidate[]): string {
  return versions.map(version => version.name).join(' ')
}
