/**
 * One daemon of a run: it lets a request in, plans its versions, chooses an endpoint for each attempt
 * and tells the policies how it ended. The policies are the daemon's own objects; they are given
 * late news, the caller's request and ratings that have arrived, and nothing else.
 */
import { Priority, type Place, type VersionName } from '../src/contract/index.ts'
import {
  AttemptEnd, type EndpointChoice, type EndpointRequest, LearnedVersionPolicy, RegionLinkBudget, type AttemptHandle, type VersionDigest
} from '../src/choice/index.ts'
import type { Arrival } from './arrivals.ts'
import type { Attempt, DeciderParts, Serving } from './deciderParts.ts'
import type { FakeEngine } from './engine.ts'
import { isReleased, nextPosition } from './planSteps.ts'
import { attemptCost } from './world.ts'

/** A daemon in virtual time. */
export class Decider {
  readonly #parts: DeciderParts

  constructor (parts: DeciderParts) {
    this.#parts = parts
  }

  /** Where it stands. */
  get here (): Place {
    return this.#parts.here
  }

  /** Chooses for a turn from before the run, so that its prompt is cached where the policy would have put it. */
  warm (arrival: Arrival): void {
    const { policies, news, engines } = this.#parts
    const plan = policies.version.plan(this.#versionRequest(arrival), this.#parts.candidates(), 0)
    if (!plan.ok) return
    const version = plan.val.steps.at(-1)!.version
    this.#parts.pins.set(arrival.session!, version)
    const serving = this.#servingOf(arrival, Priority.Normal)
    const request = this.#endpointRequest(serving, version, new Set())
    const choice = policies.endpoint.choose(request, news.views(), 0)
    if (!choice.ok) return
    const attempt = policies.endpoint.open(request, choice.val, 0)
    attempt.close({ end: AttemptEnd.Cancelled, firstTokenMilliseconds: undefined, completionTokens: 0 }, 0)
    const { inputTokens, outputTokens, kind } = arrival.request
    engines.get(choice.val.endpoint.name)!.warm({
      session: arrival.session,
      prefixKey: request.prefixKey,
      sharedPrefixTokens: kind.sharedPrefixTokens,
      promptTokens: inputTokens,
      outputTokens
    })
  }

  /** Tells other deciders what this one's version policy has seen; they hear it after the way between them. */
  tell (name: string, others: readonly Decider[]): void {
    const { policies, time, user } = this.#parts
    if (!(policies.version instanceof LearnedVersionPolicy)) return
    const digest = policies.version.digest(name, 1)
    time.after(user.oneWayMilliseconds.region, () => others.filter(other => other !== this).forEach(other => other.#hear(digest)))
  }

  #hear (digest: VersionDigest): void {
    const { version } = this.#parts.policies
    if (version instanceof LearnedVersionPolicy) version.mergeDigest(digest)
  }

  /** Serves a request. */
  serve (arrival: Arrival): void {
    const { policies, time, candidates } = this.#parts
    const now = time.now()
    const plan = policies.version.plan(this.#versionRequest(arrival), candidates(), now)
    if (!plan.ok) return this.#refuse(arrival)
    const steps = plan.val.steps
    const admitted = this.#admit(arrival, steps[0]!.version, now)
    if (admitted === undefined) return this.#refuse(arrival)
    policies.budget.recordFirstAttempt(now)
    this.#attempt({ serving: this.#servingOf(arrival, admitted), steps, position: 0, excluded: new Set(), earlier: [] })
  }

  /** @returns the priority that the request may run at, or undefined for a refusal */
  #admit (arrival: Arrival, version: VersionName, now: number): Priority | undefined {
    const { policies, user, news } = this.#parts
    const priority = arrival.request.streamed ? Priority.Interactive : Priority.Normal
    if (policies.limits === undefined) return priority
    const organisation = user.organisations.find(entry => entry.name === arrival.request.organisation)!
    const { inputTokens, outputTokens } = arrival.request
    const admission = policies.limits.policyOf(version).admit({
      organisation: organisation.name,
      share: organisation.weight,
      totalShares: user.organisations.reduce((sum, entry) => sum + entry.weight, 0),
      priority,
      work: outputTokens + inputTokens / 4
    }, policies.limits.pressure(version, news.views()), now)
    if (!admission.ok) return undefined
    return admission.val.withinShare ? priority : Priority.Background
  }

  #attempt (attempt: Attempt): void {
    const { policies, time, news, engines, measure } = this.#parts
    const { serving, steps, position } = attempt
    const version = steps[position]!.version
    const request = this.#endpointRequest(serving, version, attempt.excluded)
    const outcome = policies.endpoint.choose(request, news.views(), time.now())
    if (!outcome.ok) return this.#refuse(serving.arrival)
    const choice = outcome.val
    const open = policies.endpoint.open(request, choice, time.now())
    const engine = engines.get(choice.endpoint.name)!
    const distance = this.#distanceTo(choice.endpoint.place)
    if (serving.measured && choice.endpoint.place.region !== this.#parts.here.region) measure.cross(RegionLinkBudget.estimateBytes(request.promptTokens, request.expectedCompletionTokens))
    time.after(distance, () => this.#submit(attempt, request, choice, open, engine, distance))
  }

  #submit (attempt: Attempt, request: EndpointRequest, choice: EndpointChoice, open: AttemptHandle, engine: FakeEngine, distance: number): void {
    const { time } = this.#parts
    const { serving } = attempt
    const { request: asked, session } = serving.arrival
    const sentAt = time.now() - distance
    let firstAt: number | undefined
    let cached = 0
    const back = (run: () => void) => time.after(distance, run)
    engine.submit({
      promptTokens: asked.inputTokens,
      outputTokens: asked.outputTokens,
      priority: serving.priority,
      deadline: serving.deadline,
      session,
      prefixKey: request.prefixKey,
      sharedPrefixTokens: asked.kind.sharedPrefixTokens,
      onFirstToken: cachedTokens => back(() => {
        cached = cachedTokens
        firstAt = time.now()
        open.recordFirstToken(firstAt)
      }),
      onFinish: () => back(() => {
        const firstTokenMilliseconds = (firstAt ?? time.now()) - sentAt
        open.close({ end: AttemptEnd.Answered, firstTokenMilliseconds, completionTokens: asked.outputTokens }, time.now())
        this.#answered(attempt, engine, cached, firstAt ?? time.now())
      }),
      onFailure: () => back(() => this.#failed(attempt, choice, open))
    })
  }

  #failed (attempt: Attempt, choice: EndpointChoice, open: AttemptHandle): void {
    const { time, policies } = this.#parts
    const { serving } = attempt
    const late = time.now() >= serving.deadline
    open.close({ end: late ? AttemptEnd.Cancelled : AttemptEnd.Failed, firstTokenMilliseconds: undefined, completionTokens: 0 }, time.now())
    if (late || !policies.budget.tryAcquire(time.now())) return this.#late(serving)
    this.#attempt({ ...attempt, excluded: new Set([...attempt.excluded, choice.endpoint.name]) })
  }

  #answered (attempt: Attempt, engine: FakeEngine, cachedTokens: number, firstAt: number): void {
    const { measure, ratings, time, policies } = this.#parts
    const { serving, steps, position } = attempt
    const { request } = serving.arrival
    const step = steps[position]!
    if (serving.measured) {
      measure.prefill(request.inputTokens, cachedTokens)
      measure.spend(attemptCost(engine.parts.version, request.inputTokens, cachedTokens, request.outputTokens))
    }
    const score = ratings.scoreOf(engine.parts, request, time.now())
    if (step.releaseAtRating === undefined) {
      this.#release(attempt, score, firstAt)
      if (step.rateAfterwards) this.#rate(attempt, score, () => {})
      return
    }
    this.#rate(attempt, score, rating => {
      if (rating !== undefined && isReleased(step, rating)) return this.#release(attempt, score, time.now())
      if (rating === undefined) policies.version.observeRatingFailure(time.now())
      const earlier = rating === undefined ? attempt.earlier : [...attempt.earlier, { version: step.version, rating }]
      this.#attempt({ ...attempt, position: nextPosition(steps, position, rating), excluded: new Set(), earlier })
    })
  }

  #rate (attempt: Attempt, score: number, then: (rating: number | undefined) => void): void {
    const { ratings, policies, time, measure, world } = this.#parts
    const { serving, steps, position } = attempt
    const { request } = serving.arrival
    ratings.rate(score, rating => {
      if (rating !== undefined) {
        if (serving.measured) measure.spend(world.ratingCost)
        policies.version.observeRating({
          organisation: request.organisation,
          kind: request.kind.name,
          version: steps[position]!.version,
          difficultyHint: request.hint,
          earlierRatings: attempt.earlier,
          rating,
          at: time.now()
        })
      }
      then(rating)
    })
  }

  #release (attempt: Attempt, score: number, firstAt: number): void {
    const { time, user, world, measure, pins } = this.#parts
    const { serving, steps, position } = attempt
    const { request, session } = serving.arrival
    if (session !== undefined && !pins.has(session)) pins.set(session, steps[position]!.version)
    if (!serving.measured) return
    const client = 2 * user.oneWayMilliseconds.client
    measure.end({
      organisation: request.organisation,
      kind: request.kind.name,
      streamed: request.streamed,
      good: score >= world.qualityGood,
      inTime: time.now() + client <= serving.deadline,
      firstTokenMilliseconds: firstAt - serving.arrivedAt + client,
      betweenTokensMilliseconds: (time.now() - firstAt) / Math.max(1, request.outputTokens - 1),
      exposed: this.#parts.ratings.isBad(steps[position]!.version, time.now())
    })
  }

  /** An answer that failed or never came counts with the time that its caller waited. */
  #late (serving: Serving): void {
    if (!serving.measured) return
    const { request } = serving.arrival
    const waited = this.#parts.time.now() - serving.arrivedAt
    this.#parts.measure.end({
      organisation: request.organisation,
      kind: request.kind.name,
      streamed: request.streamed,
      good: false,
      inTime: false,
      firstTokenMilliseconds: waited,
      betweenTokensMilliseconds: 0,
      exposed: false
    })
  }

  #refuse (arrival: Arrival): void {
    if (this.#parts.measured(arrival)) this.#parts.measure.refuse()
  }

  #servingOf (arrival: Arrival, priority: Priority): Serving {
    const deadline = arrival.at + this.#parts.deadlineOf(arrival.request.kind.name)
    return { arrival, arrivedAt: arrival.at, deadline, priority, measured: this.#parts.measured(arrival) }
  }

  #versionRequest (arrival: Arrival) {
    const { request, session } = arrival
    return {
      organisation: request.organisation,
      kind: request.kind.name,
      pinnedVersion: session === undefined ? undefined : this.#parts.pins.get(session),
      streamed: request.streamed,
      promptTokens: request.inputTokens,
      expectedCompletionTokens: request.outputTokens,
      difficultyHint: request.hint,
      remainingMilliseconds: this.#parts.deadlineOf(request.kind.name),
      qualityTarget: this.#parts.world.qualityTarget,
      opensSession: session !== undefined && arrival.turn === 0
    }
  }

  #endpointRequest (serving: Serving, version: VersionName, excluded: ReadonlySet<string>): EndpointRequest {
    const { arrival, deadline, priority } = serving
    const { request, session } = arrival
    return {
      id: arrival.id,
      organisation: request.organisation,
      version,
      prefixKey: `${request.organisation}/${request.kind.name}`,
      session,
      promptTokens: request.inputTokens,
      expectedCompletionTokens: request.outputTokens,
      priority,
      remainingMilliseconds: deadline - Math.max(arrival.at, this.#parts.time.now()),
      excludedEndpoints: excluded
    }
  }

  #distanceTo (place: Place): number {
    const { here, user } = this.#parts
    if (place.dataCentre === here.dataCentre) return 0
    return place.region === here.region ? user.oneWayMilliseconds.dataCentre : user.oneWayMilliseconds.region
  }
}
