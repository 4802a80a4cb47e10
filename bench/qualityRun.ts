/**
 * Runs a version policy over drawn requests without queues: an attempt is answered at once, at the cost
 * of an empty cache. This isolates the effect of the version policy on quality and cost. Requests are
 * split among daemons that decide independently; each learns from its own ratings and, periodically, from
 * the digests of the others. A rating requested after a release arrives with delay.
 */
import type { Randomness, VersionName } from '../src/contract/index.ts'
import { SeededRandomness } from '../src/contract/index.ts'
import { LearnedVersionPolicy, type PlanStep, type RatedAnswer, type VersionCandidate, type VersionPolicy } from '../src/choice/index.ts'
import { isReleased, nextPosition } from './planSteps.ts'
import { benchVersionName, clairvoyantVersion } from './versionBaselines.ts'
import { attemptCost, drawNextTurn, drawRating, drawRequest, drawSessionContinues, trueScore, type World, type WorldRequest, type WorldUser } from './world.ts'

/** How sessions affect the choice of version. */
export const SessionRule = {
  /** No sessions: each request is a first turn, with the kind's mean prompt length. */
  None: 'none',
  /** Turns have growing prompts, and a version is chosen for each turn independently. */
  Free: 'free',
  /** Later turns run on the version that released the first. */
  Pinned: 'pinned'
} as const
export type SessionRule = typeof SessionRule[keyof typeof SessionRule]

/** The requests of one run, which are the same for every policy. */
export interface QualityWorkload {
  readonly requests: readonly QualityRequest[]
  /** Time between two requests. */
  readonly intervalMilliseconds: number
}

export interface QualityRequest extends WorldRequest {
  /** The session's number; undefined for kinds without sessions. */
  readonly session: number | undefined
  readonly opensSession: boolean
}

/** Totals for a pair of organisation and kind. */
export interface QualityCount {
  readonly organisation: string
  readonly kind: string
  requests: number
  good: number
  cost: number
  ratings: number
}

export interface QualityOptions {
  readonly seed: number
  readonly daemons: number
  /** Number of requests between two exchanges of digests; infinite for no exchange. */
  readonly exchangeIntervalRequests: number
  readonly sessions: SessionRule
  /** Points to add to a version's true scores, from the request with the given index on. */
  readonly scoreShift?: { readonly version: string, readonly points: number, readonly fromRequest: number }
}

const ratingOutageIntervalMilliseconds = 60_000
/** Number of requests after which a rating requested after a release arrives. */
const ratingDelayRequests = 40
const deadlineMilliseconds = 120_000
const startMilliseconds = 1_700_000_000_000

/** Draws the requests of a run. */
export function drawWorkload (world: World, user: WorldUser, count: number, requestsPerSecond: number, seed: number, sessions: SessionRule): QualityWorkload {
  const randomness = new SeededRandomness(seed)
  const openTurns: { request: WorldRequest, session: number }[] = []
  const requests: QualityRequest[] = []
  let opened = 0
  while (requests.length < count) {
    if (openTurns.length > 0 && randomness.fraction() < openTurns.length / (openTurns.length + typicalOpenSessions)) {
      const [turn] = openTurns.splice(randomness.integerBelow(openTurns.length), 1)
      const request = drawNextTurn(world, user, turn!.request, randomness)
      requests.push({ ...request, session: turn!.session, opensSession: false })
      if (drawSessionContinues(request.kind, randomness)) openTurns.push({ request, session: turn!.session })
      continue
    }
    const request = drawRequest(world, user, randomness)
    const opensSession = sessions !== SessionRule.None && request.kind.sessionTurns > 1
    // Later turns of a session are drawn separately, so fewer first turns are kept to preserve the kind's share in the mix.
    if (opensSession && randomness.fraction() >= 1 / request.kind.sessionTurns) continue
    opened += opensSession ? 1 : 0
    requests.push({ ...request, session: opensSession ? opened : undefined, opensSession })
    if (opensSession && drawSessionContinues(request.kind, randomness)) openTurns.push({ request, session: opened })
  }
  return { requests, intervalMilliseconds: 1_000 / requestsPerSecond }
}

/** Number of open sessions at which the next request is equally likely a later turn or a first request. */
const typicalOpenSessions = 60

/** Runs a version policy over a workload; `createPolicy` is called once for each daemon. */
export function runVersionPolicy (world: World, workload: QualityWorkload, options: QualityOptions, createPolicy: (randomness: Randomness) => VersionPolicy): QualityCount[] {
  const run = new QualityRun(world, options, createPolicy)
  for (const [index, request] of workload.requests.entries()) run.serve(request, index, startMilliseconds + index * workload.intervalMilliseconds)
  return run.counts()
}

/** Totals if every request ran on the version that a clairvoyant policy chooses. */
export function runClairvoyant (world: World, workload: QualityWorkload): QualityCount[] {
  const counts = new QualityCounts()
  for (const request of workload.requests) {
    const name = clairvoyantVersion(world, request.kind.name, request.difficulty)
    const version = world.versions.find(entry => benchVersionName(entry.name) === name)!
    const count = counts.countFor(request)
    count.requests += 1
    count.good += trueScore(world, version, request.kind.name, request.difficulty) >= world.goodScoreThreshold ? 1 : 0
    count.cost += attemptCost(version, request.inputTokens, 0, request.outputTokens)
  }
  return counts.all()
}

class QualityCounts {
  readonly #counts = new Map<string, QualityCount>()

  countFor ({ organisation, kind }: WorldRequest): QualityCount {
    const key = `${organisation}/${kind.name}`
    const known = this.#counts.get(key)
    if (known) return known
    const count = { organisation, kind: kind.name, requests: 0, good: 0, cost: 0, ratings: 0 }
    this.#counts.set(key, count)
    return count
  }

  all (): QualityCount[] {
    return [...this.#counts.values()]
  }
}

export class QualityRun {
  readonly #world: World
  readonly #options: QualityOptions
  readonly #randomness: Randomness
  readonly #policies: VersionPolicy[]
  readonly #candidates: VersionCandidate[]
  readonly #counts = new QualityCounts()
  readonly #pinnedVersions = new Map<number, VersionName>()
  #pendingRatings: { readonly dueAtRequest: number, readonly policy: VersionPolicy, readonly answer: RatedAnswer }[] = []

  constructor (world: World, options: QualityOptions, createPolicy: (randomness: Randomness) => VersionPolicy) {
    this.#world = world
    this.#options = options
    this.#randomness = new SeededRandomness(options.seed * 7_919 + 17)
    this.#policies = Array.from({ length: options.daemons }, (_, daemon) => createPolicy(new SeededRandomness(options.seed * 1_000 + daemon)))
    this.#candidates = world.versions.map(({ name, price }) => ({ name: benchVersionName(name), price, available: true }))
  }

  counts (): QualityCount[] {
    return this.#counts.all()
  }

  serve (request: QualityRequest, index: number, now: number): void {
    this.#deliverDueRatings(index)
    if (index > 0 && index % this.#options.exchangeIntervalRequests === 0) this.#exchangeDigests()
    const policy = this.#policies[this.#randomness.integerBelow(this.#policies.length)]!
    const pinned = this.#options.sessions === SessionRule.Pinned && request.session !== undefined ? this.#pinnedVersions.get(request.session) : undefined
    const plan = policy.plan({
      organisation: request.organisation,
      kind: request.kind.name,
      pinnedVersion: pinned,
      streamed: request.streamed,
      promptTokens: request.inputTokens,
      expectedCompletionTokens: request.outputTokens,
      difficultyHint: request.difficultyHint,
      remainingMilliseconds: deadlineMilliseconds,
      qualityTarget: this.#world.qualityTarget,
      opensSession: this.#options.sessions === SessionRule.Pinned && request.opensSession
    }, this.#candidates, now)
    const releasedVersion = this.#execute(request, plan.unwrap().steps, policy, index, now)
    if (request.session !== undefined && request.opensSession) this.#pinnedVersions.set(request.session, releasedVersion)
  }

  #execute (request: QualityRequest, steps: readonly PlanStep[], policy: VersionPolicy, index: number, now: number): VersionName {
    const count = this.#counts.countFor(request)
    count.requests += 1
    const earlierRatings: { version: VersionName, rating: number }[] = []
    const isOutage = this.#isRatingOutage(now)
    let position = 0
    while (true) {
      const step = steps[position]!
      const version = this.#world.versions.find(entry => benchVersionName(entry.name) === step.version)!
      const score = trueScore(this.#world, version, request.kind.name, request.difficulty, this.#scoreShiftOf(version.name, index))
      count.cost += attemptCost(version, request.inputTokens, 0, request.outputTokens)
      const isFinalStep = step.releaseAtRating === undefined
      if (!isFinalStep && isOutage) {
        policy.observeRatingFailure(now)
        position += 1
        continue
      }
      const rating = isFinalStep ? undefined : this.#rate(count, score)
      if (rating !== undefined) policy.observeRating({ ...ratedAnswer(request, step.version, rating, now), earlierRatings: [...earlierRatings] })
      if (isFinalStep || isReleased(step, rating!)) {
        count.good += score >= this.#world.goodScoreThreshold ? 1 : 0
        if (isFinalStep && step.rateAfterwards && !isOutage) this.#scheduleRating(count, policy, { ...ratedAnswer(request, step.version, 0, now), earlierRatings: [...earlierRatings] }, score, index)
        return step.version
      }
      earlierRatings.push({ version: step.version, rating: rating! })
      position = nextPosition(steps, position, rating)
    }
  }

  #rate (count: QualityCount, score: number): number {
    count.ratings += 1
    count.cost += this.#world.ratingCost
    return drawRating(this.#world, score, this.#randomness)
  }

  #scheduleRating (count: QualityCount, policy: VersionPolicy, answer: RatedAnswer, score: number, index: number): void {
    const rating = this.#rate(count, score)
    this.#pendingRatings.push({ dueAtRequest: index + ratingDelayRequests, policy, answer: { ...answer, rating } })
  }

  #deliverDueRatings (index: number): void {
    while (this.#pendingRatings.length > 0 && this.#pendingRatings[0]!.dueAtRequest <= index) {
      const { policy, answer } = this.#pendingRatings.shift()!
      policy.observeRating(answer)
    }
  }

  #exchangeDigests (): void {
    const learned = this.#policies.filter(policy => policy instanceof LearnedVersionPolicy)
    const digests = learned.map((policy, index) => policy.digest(`daemon-${index}`, 1))
    for (const [index, policy] of learned.entries()) {
      for (const [origin, digest] of digests.entries()) {
        if (origin !== index) policy.mergeDigest(digest)
      }
    }
  }

  /** Ratings fail for whole minutes, with the probability of the world's outage share. */
  #isRatingOutage (now: number): boolean {
    const minute = Math.floor(now / ratingOutageIntervalMilliseconds)
    return new SeededRandomness(this.#options.seed * 31 + minute).fraction() < this.#world.ratingOutageShare
  }

  #scoreShiftOf (version: string, index: number): number {
    const { scoreShift } = this.#options
    return scoreShift && scoreShift.version === version && index >= scoreShift.fromRequest ? scoreShift.points : 0
  }
}

function ratedAnswer (request: QualityRequest, version: VersionName, rating: number, at: number): RatedAnswer {
  return { organisation: request.organisation, kind: request.kind.name, version, difficultyHint: request.difficultyHint, rating, at }
}
