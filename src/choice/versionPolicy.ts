/**
 * Selects versions by learned quality. For each kind of request, the model estimates the ability of
 * every version: the difficulty up to which its answers are good. The plan with the highest expected
 * value minus cost is chosen. The value of a good answer is set per organisation and kind so that the
 * share of good answers meets the target with a confidence margin (a Lagrange multiplier, solved for
 * on the learned model). Cheap versions are explored where an answer can be rated before its release,
 * so that exploration costs no quality; until something is known, the most expensive version answers.
 */
import { Err, Ok, Refusal, RefusalCode, RunState, type Randomness, type Result } from '../contract/index.ts'
import type { PlanStep, RatedAnswer, VersionCandidate, VersionPlan, VersionPolicy, VersionRequest } from './contract.ts'
import { RatingScale } from './ratingScale.ts'
import { type VersionDigest, PeerDigests } from './versionDigest.ts'
import { RequestKindState } from './requestKindState.ts'
import { PlanMode } from './planTable.ts'

export interface LearnedVersionPolicyOptions {
  readonly randomness: Randomness
  /** The lowest rating of a good answer, 0 to 100. */
  readonly goodRating?: number
  /** Cost units of one rating. */
  readonly ratingCost?: number
  /** The cost of a prompt token, relative to a generated one. */
  readonly promptTokenCost?: number
  /** Upper estimate of the milliseconds per generated token of a rated attempt. */
  readonly maximumTokenMilliseconds?: number
}

const defaultGoodRating = 70
const defaultRatingCost = 60
const defaultPromptTokenCost = 0.25
const defaultMaximumTokenMilliseconds = 25
/** Milliseconds that a plan allows for a rating. */
const maximumRatingMilliseconds = 400
/** Rated attempts that must fit into the remaining time for a cascade to be planned. */
const maximumCascadeAttempts = 3
/** Time without cascades after a rating failed. */
const cascadePauseMilliseconds = 3_000
/** Share of cascades that try a version with too few ratings. */
const explorationRate = 0.6
/** The same share for requests whose answers can't be rated before their release. */
const unratedExplorationRate = 0.05
/** If at least this share of a kind's requests may be cascades, only cascades explore. */
const sufficientCascadeShare = 0.15
/** Points above the good rating that an explored version's answer needs for its release. */
const explorationMarginPoints = 8
/** Ratings after a release may cost this share of the attempts: a rating is cheap compared with a strong version. */
const ratingCostShare = 0.02
/** In addition, the answers of a version are rated until it has about this many ratings, up to a maximum share. */
const targetRatingCount = 12
const maximumLearningRatingShare = 0.25
/** Lowest value of a good answer, in mean costs of a request, so that quality is not neglected on cheap kinds. */
const minimumValueInMeanRequests = 2
/** Weight of one request in the moving average of the cost. */
const meanCostSmoothing = 1 / 500
/** Kinds that are modelled separately; further kinds share one model. */
const maximumKinds = 64
const overflowKind = '(other kinds)'

/** Version policy that learns the quality of versions from ratings. */
export class LearnedVersionPolicy implements VersionPolicy {
  readonly #randomness: Randomness
  readonly #goodRating: number
  readonly #ratingCost: number
  readonly #promptTokenCost: number
  readonly #maximumTokenMilliseconds: number
  readonly #scale: RatingScale
  readonly #kinds = new Map<string, RequestKindState>()
  readonly #digests = new PeerDigests()
  #cascadesAllowedFrom = 0
  /** Moving average of the expected cost of a request over all kinds, in cost units. */
  #meanCost = 0
  #sequence = 0

  constructor (options: LearnedVersionPolicyOptions) {
    this.#randomness = options.randomness
    this.#goodRating = options.goodRating ?? defaultGoodRating
    this.#ratingCost = options.ratingCost ?? defaultRatingCost
    this.#promptTokenCost = options.promptTokenCost ?? defaultPromptTokenCost
    this.#maximumTokenMilliseconds = options.maximumTokenMilliseconds ?? defaultMaximumTokenMilliseconds
    this.#scale = new RatingScale()
  }

  plan (request: VersionRequest, candidates: readonly VersionCandidate[], now: number): Result<VersionPlan, Refusal> {
    const available = candidates.filter(candidate => candidate.available)
    if (request.pinnedVersion !== undefined) return this.#planPinned(request, available)
    if (available.length === 0) return Err(noEndpoint('no endpoint has a version that this organisation may use'))
    return Ok({ steps: this.#planUnpinned(request, available, now) })
  }

  #planPinned (request: VersionRequest, available: readonly VersionCandidate[]): Result<VersionPlan, Refusal> {
    const pinned = available.find(candidate => candidate.name === request.pinnedVersion)
    if (!pinned) return Err(noEndpoint('no endpoint has the version of this session'))
    const kind = this.#observedKind(request)
    kind.model.addVersion(pinned.name, false)
    kind.countSessionRequest(true)
    const goodProbability = kind.planTable([pinned]).goodProbability(kind.estimate(pinned), request.difficultyHint)
    kind.organisation(request.organisation).ledger.add(goodProbability)
    return Ok({ steps: [this.#releasedStep(kind, pinned)] })
  }

  #planUnpinned (request: VersionRequest, available: readonly VersionCandidate[], now: number): PlanStep[] {
    const kind = this.#observedKind(request)
    const byPrice = [...available].sort((left, right) => left.price - right.price || (left.name < right.name ? -1 : 1))
    const strongest = byPrice.at(-1)!
    for (const { name } of byPrice) kind.model.addVersion(name, name === strongest.name)
    if (request.opensSession) kind.countSessionRequest(false)
    const mode = this.#modeOf(request, now)
    const quality = kind.organisation(request.organisation)
    quality.requestMix.add(mode, request.difficultyHint)
    kind.requestMix.add(mode, request.difficultyHint)
    const explored = this.#explore(kind, byPrice, mode)
    if (explored) {
      quality.ledger.add(request.qualityTarget)
      return explored
    }
    const plannable = byPrice.filter(({ name }) => name === strongest.name || kind.hasEnoughRatings(name))
    const table = kind.planTable(plannable)
    const needed = kind.levelFor(request.organisation, quality.ledger.goal(request.qualityTarget), plannable)
    const level = Math.max(needed, table.levelOf(minimumValueInMeanRequests * this.#meanCost))
    const wholeLevel = Math.floor(level) + (this.#randomness.fraction() < level % 1 ? 1 : 0)
    const plan = table.plan(mode, request.difficultyHint, wholeLevel)
    this.#meanCost += (plan.expectedCost - this.#meanCost) * meanCostSmoothing
    quality.ledger.add(plan.expectedGood)
    return plan.steps.map(step => step.releaseAtRating === undefined ? this.#releasedStep(kind, byPrice.find(({ name }) => name === step.version)!) : step)
  }

  /** Tries a version that has too few ratings and is not the most expensive one. */
  #explore (kind: RequestKindState, byPrice: readonly VersionCandidate[], mode: PlanMode): PlanStep[] | undefined {
    const unexplored = byPrice.slice(0, -1).filter(({ name }) => !kind.hasEnoughRatings(name))
    if (unexplored.length === 0) return undefined
    const isCascade = mode === PlanMode.Cascade || mode === PlanMode.CascadePinned
    const unratedRate = kind.requestMix.cascadeShare >= sufficientCascadeShare ? 0 : unratedExplorationRate
    const rate = isCascade ? explorationRate : unratedRate
    if (this.#randomness.fraction() >= rate) return undefined
    const { name } = unexplored[this.#randomness.integerBelow(unexplored.length)]!
    if (!isCascade) return [{ version: name, releaseAtRating: undefined, rateAfterwards: true }]
    const releaseAtRating = Math.min(99, this.#goodRating + explorationMarginPoints)
    return [
      { version: name, releaseAtRating, rateAfterwards: false },
      this.#releasedStep(kind, byPrice.at(-1)!)
    ]
  }

  #releasedStep (kind: RequestKindState, { name, price }: VersionCandidate): PlanStep {
    const learningShare = Math.min(maximumLearningRatingShare, targetRatingCount / Math.max(1, kind.model.ratingCount(name)))
    const affordableShare = ratingCostShare * price * kind.meanWork / this.#ratingCost
    const share = Math.max(learningShare, affordableShare)
    return { version: name, releaseAtRating: undefined, rateAfterwards: this.#randomness.fraction() < share }
  }

  #modeOf (request: VersionRequest, now: number): PlanMode {
    const needed = maximumCascadeAttempts * (request.expectedCompletionTokens * this.#maximumTokenMilliseconds + maximumRatingMilliseconds)
    const mayCascade = !request.streamed && now >= this.#cascadesAllowedFrom && request.remainingMilliseconds >= needed
    if (request.opensSession) return mayCascade ? PlanMode.CascadePinned : PlanMode.SinglePinned
    return mayCascade ? PlanMode.Cascade : PlanMode.Single
  }

  #observedKind (request: VersionRequest): RequestKindState {
    const kind = this.#kind(request.kind)
    if (request.difficultyHint !== undefined) this.#scale.observeHint(request.difficultyHint)
    kind.countWork(request.promptTokens * this.#promptTokenCost + request.expectedCompletionTokens)
    return kind
  }

  #kind (name: string): RequestKindState {
    const known = this.#kinds.get(name)
    if (known) return known
    if (this.#kinds.size >= maximumKinds && name !== overflowKind) return this.#kind(overflowKind)
    const kind = new RequestKindState(name, this.#scale, this.#goodRating, this.#ratingCost)
    this.#kinds.set(name, kind)
    return kind
  }

  observeRating (answer: RatedAnswer): void {
    this.#kind(answer.kind).observe(answer)
  }

  observeRatingFailure (now: number): void {
    this.#cascadesAllowedFrom = now + cascadePauseMilliseconds
  }

  /**
   * Summarises this daemon's own observations for its peers: a few kilobytes for ten organisations and
   * three kinds, small enough to send every few seconds.
   *
   * @param incarnation start of the process; larger than that of an earlier process of this origin
   * @example
   * for (const peer of peers) peer.send(policy.digest(daemon.name, daemon.startedAt))
   */
  digest (origin: string, incarnation: number): VersionDigest {
    this.#sequence += 1
    const kinds = [...this.#kinds]
    const beliefs = kinds.flatMap(([kind, state]) => [...state.model.ownLikelihoods()].map(([version, likelihood]) => ({ kind, version, ...likelihood })))
    const ledgers = kinds.flatMap(([kind, state]) => [...state.organisations].map(([organisation, { ledger }]) => ({ organisation, kind, ...ledger.own })))
    return { origin, incarnation, sequence: this.#sequence, scale: this.#scale.ownLogLikelihood(), beliefs, ledgers }
  }

  /**
   * Merges a peer's digest. Repeated and older digests change nothing.
   *
   * @example
   * link.on('digest', digest => policy.mergeDigest(digest))
   */
  mergeDigest (digest: VersionDigest): void {
    if (!this.#digests.store(digest)) return
    this.#applyDigests(digest)
  }

  #applyDigests (changed: VersionDigest): void {
    const all = this.#digests.all()
    this.#scale.setPeerLikelihoods(all.map(digest => digest.scale))
    for (const { kind, version } of changed.beliefs) {
      const likelihoods = all.flatMap(digest => digest.beliefs.filter(belief => belief.kind === kind && belief.version === version))
      this.#kind(kind).model.setPeerLikelihoods(version, likelihoods)
    }
    for (const { kind, organisation } of changed.ledgers) {
      const sums = all.flatMap(digest => digest.ledgers.filter(ledger => ledger.kind === kind && ledger.organisation === organisation))
      this.#kind(kind).organisation(organisation).ledger.setPeerSums(sums)
    }
    for (const kind of new Set(changed.beliefs.map(belief => belief.kind))) this.#kind(kind).refresh()
  }
}

function noEndpoint (message: string): Refusal {
  return new Refusal(RefusalCode.NoEndpoint, RunState.NotRun, message, noEndpointRetrySeconds)
}

/** Retry delay in seconds, after which an endpoint may have loaded the version. */
const noEndpointRetrySeconds = 2
