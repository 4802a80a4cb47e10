/**
 * Runs a version policy over drawn requests without queues: an attempt is answered at once, at its
 * full price. What is left is what the choice of version alone does to quality and cost. Requests
 * are split among daemons that decide alone; each learns from its own ratings and, every so often,
 * from the digests of the others. A rating after a release comes late.
 */
import type { Randomness, VersionName } from '../src/contract/index.ts'
import { SeededRandomness } from '../src/contract/index.ts'
import { LearnedVersionPolicy, type PlanStep, type RatedAnswer, type VersionCandidate, type VersionPolicy } from '../src/choice/index.ts'
import { isReleased, nextPosition } from './planSteps.ts'
import { benchVersionName, clairvoyantVersion } from './versionBaselines.ts'
import { attemptCost, drawNextTurn, drawRating, drawRequest, drawSessionGoesOn, trueScore, type World, type WorldRequest, type WorldUser } from './world.ts'

/** What a session binds. */
export const SessionRule = {
  /** No sessions: each request is a first one, with the kind's plain prompt. */
  None: 'none',
  /** Turns with growing prompts, each chosen for by itself. */
  Free: 'free',
  /** Later turns run on the version that released the first. */
  Pinned: 'pinned'
} as const
export type SessionRule = typeof SessionRule[keyof typeof SessionRule]

/** Requests of one run, the same for every policy. */
export interface QualityWorkload {
  readonly requests: readonly QualityRequest[]
  /** Milliseconds between two requests. */
  readonly spacing: number
}

export interface QualityRequest extends WorldRequest {
  /** The session's number, where the kind has sessions. */
  readonly session: number | undefined
  readonly opensSession: boolean
}

/** What is added up for each organisation and kind. */
export interface QualityCount {
  readonly organisation: string
  readonly kind: string
  requests: number
  good: number
  cost: number
  ratings: number
}

/** How a run is laid out. */
export interface QualityOptions {
  readonly seed: number
  readonly daemons: number
  /** Requests between two exchanges of digests; infinite without any. */
  readonly exchangeEvery: number
  readonly sessions: SessionRule
  /** Points added to a version's scores from a request's index on. */
  readonly shift?: { readonly version: string, readonly points: number, readonly fromRequest: number }
}

const ratingOutageMilliseconds = 60_000
/** Requests after which a rating that was asked for after a release arrives. */
const lateRatingRequests = 40
const deadlineMilliseconds = 120_000
const start = 1_700_000_000_000

/** Draws the requests of a run. */
export function drawWorkload (world: World, user: WorldUser, count: number, requestsPerSecond: number, seed: number, sessions: SessionRule): QualityWorkload {
  const randomness = new SeededRandomness(seed)
  const open: { request: WorldRequest, session: number }[] = []
  const requests: QualityRequest[] = []
  let opened = 0
  while (requests.length < count) {
    if (open.length > 0 && randomness.fraction() < open.length / (open.length + openSessions)) {
      const [turn] = open.splice(randomness.integerBelow(open.length), 1)
      const request = drawNextTurn(world, user, turn!.request, randomness)
      requests.push({ ...request, session: turn!.session, opensSession: false })
      if (drawSessionGoesOn(request.kind, randomness)) open.push({ request, session: turn!.session })
      continue
    }
    const request = drawRequest(world, user, randomness)
    const opensSession = sessions !== SessionRule.None && request.kind.sessionTurns > 1
    // A session's later turns are drawn besides; keep the kind's share of all requests as the mix says.
    if (opensSession && randomness.fraction() >= 1 / request.kind.sessionTurns) continue
    opened += opensSession ? 1 : 0
    requests.push({ ...request, session: opensSession ? opened : undefined, opensSession })
    if (opensSession && drawSessionGoesOn(request.kind, randomness)) open.push({ request, session: opened })
  }
  return { requests, spacing: 1_000 / requestsPerSecond }
}

/** Sessions between turns, at which a next request is as likely a turn as a first request. */
const openSessions = 60

/** Runs a policy; `make` is called once for each daemon. */
export function runPolicy (world: World, workload: QualityWorkload, options: QualityOptions, make: (randomness: Randomness) => VersionPolicy): QualityCount[] {
  const run = new QualityRun(world, options, make)
  for (const [index, request] of workload.requests.entries()) run.serve(request, index, start + index * workload.spacing)
  return run.counts()
}

/** What the clairvoyant's choice would have brought. */
export function runClairvoyant (world: World, workload: QualityWorkload): QualityCount[] {
  const counts = new QualityCounts()
  for (const request of workload.requests) {
    const name = clairvoyantVersion(world, request.kind.name, request.difficulty)
    const version = world.versions.find(entry => benchVersionName(entry.name) === name)!
    const count = counts.of(request)
    count.requests += 1
    count.good += trueScore(world, version, request.kind.name, request.difficulty) >= world.qualityGood ? 1 : 0
    count.cost += attemptCost(version, request.inputTokens, 0, request.outputTokens)
  }
  return counts.all()
}

class QualityCounts {
  readonly #counts = new Map<string, QualityCount>()

  of ({ organisation, kind }: WorldRequest): QualityCount {
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
  readonly #pins = new Map<number, VersionName>()
  #late: { readonly due: number, readonly policy: VersionPolicy, readonly answer: RatedAnswer }[] = []

  constructor (world: World, options: QualityOptions, make: (randomness: Randomness) => VersionPolicy) {
    this.#world = world
    this.#options = options
    this.#randomness = new SeededRandomness(options.seed * 7_919 + 17)
    this.#policies = Array.from({ length: options.daemons }, (_, daemon) => make(new SeededRandomness(options.seed * 1_000 + daemon)))
    this.#candidates = world.versions.map(({ name, price }) => ({ name: benchVersionName(name), price, available: true }))
  }

  counts (): QualityCount[] {
    return this.#counts.all()
  }

  serve (request: QualityRequest, index: number, now: number): void {
    this.#deliverLate(index)
    if (index > 0 && index % this.#options.exchangeEvery === 0) this.#exchange()
    const policy = this.#policies[this.#randomness.integerBelow(this.#policies.length)]!
    const pinned = this.#options.sessions === SessionRule.Pinned && request.session !== undefined ? this.#pins.get(request.session) : undefined
    const plan = policy.plan({
      organisation: request.organisation,
      kind: request.kind.name,
      pinnedVersion: pinned,
      streamed: request.streamed,
      promptTokens: request.inputTokens,
      expectedCompletionTokens: request.outputTokens,
      difficultyHint: request.hint,
      remainingMilliseconds: deadlineMilliseconds,
      qualityTarget: this.#world.qualityTarget,
      opensSession: this.#options.sessions === SessionRule.Pinned && request.opensSession
    }, this.#candidates, now)
    const released = this.#execute(request, plan.unwrap().steps, policy, index, now)
    if (request.session !== undefined && request.opensSession) this.#pins.set(request.session, released)
  }

  #execute (request: QualityRequest, steps: readonly PlanStep[], policy: VersionPolicy, index: number, now: number): VersionName {
    const count = this.#counts.of(request)
    count.requests += 1
    const earlier: { version: VersionName, rating: number }[] = []
    const outage = this.#outageAt(now)
    let position = 0
    while (true) {
      const step = steps[position]!
      const version = this.#world.versions.find(entry => benchVersionName(entry.name) === step.version)!
      const score = trueScore(this.#world, version, request.kind.name, request.difficulty, this.#shiftOf(version.name, index))
      count.cost += attemptCost(version, request.inputTokens, 0, request.outputTokens)
      const last = step.releaseAtRating === undefined
      if (!last && outage) {
        policy.observeRatingFailure(now)
        position += 1
        continue
      }
      const rating = last ? undefined : this.#rate(count, score)
      if (rating !== undefined) policy.observeRating({ ...answerOf(request, step.version, rating, now), earlierRatings: [...earlier] })
      if (last || isReleased(step, rating!)) {
        count.good += score >= this.#world.qualityGood ? 1 : 0
        if (last && step.rateAfterwards && !outage) this.#rateLater(count, policy, { ...answerOf(request, step.version, 0, now), earlierRatings: [...earlier] }, score, index)
        return step.version
      }
      earlier.push({ version: step.version, rating: rating! })
      position = nextPosition(steps, position, rating)
    }
  }

  #rate (count: QualityCount, score: number): number {
    count.ratings += 1
    count.cost += this.#world.ratingCost
    return drawRating(this.#world, score, this.#randomness)
  }

  #rateLater (count: QualityCount, policy: VersionPolicy, answer: RatedAnswer, score: number, index: number): void {
    const rating = this.#rate(count, score)
    this.#late.push({ due: index + lateRatingRequests, policy, answer: { ...answer, rating } })
  }

  #deliverLate (index: number): void {
    while (this.#late.length > 0 && this.#late[0]!.due <= index) {
      const { policy, answer } = this.#late.shift()!
      policy.observeRating(answer)
    }
  }

  #exchange (): void {
    const learned = this.#policies.filter(policy => policy instanceof LearnedVersionPolicy)
    const digests = learned.map((policy, index) => policy.digest(`daemon-${index}`, 1))
    for (const [index, policy] of learned.entries()) {
      for (const [origin, digest] of digests.entries()) {
        if (origin !== index) policy.mergeDigest(digest)
      }
    }
  }

  /** Whole minutes without ratings, as many as the world's share. */
  #outageAt (now: number): boolean {
    const minute = Math.floor(now / ratingOutageMilliseconds)
    return new SeededRandomness(this.#options.seed * 31 + minute).fraction() < this.#world.ratingOutageShare
  }

  #shiftOf (version: string, index: number): number {
    const { shift } = this.#options
    return shift && shift.version === version && index >= shift.fromRequest ? shift.points : 0
  }
}

function answerOf (request: QualityRequest, version: VersionName, rating: number, at: number): RatedAnswer {
  return { organisation: request.organisation, kind: request.kind.name, version, difficultyHint: request.hint, rating, at }
}
