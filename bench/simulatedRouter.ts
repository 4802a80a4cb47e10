/**
 * The routing part of one daemon in virtual time: it admits a request, plans its versions, chooses an
 * endpoint for each attempt and reports the outcome to the policies. Each router has policy objects of
 * its own; their only inputs are delayed load reports, the caller's request and the ratings that have
 * arrived.
 */
import { Priority, type Place, type VersionName } from '../src/contract/index.ts'
import {
  AttemptEnd, type EndpointChoice, type EndpointRequest, LearnedVersionPolicy, RegionLinkBudget, type AttemptHandle, type VersionDigest
} from '../src/choice/index.ts'
import type { Arrival } from './arrivals.ts'
import type { Attempt, SimulatedRouterDependencies, ActiveRequest } from './simulatedRouterTypes.ts'
import type { SimulatedEngine } from './simulatedEngine.ts'
import { isReleased, nextPosition } from './planSteps.ts'
import { attemptCost } from './world.ts'

/** Routes the requests of one simulated daemon. */
export class SimulatedRouter {
  readonly #dependencies: SimulatedRouterDependencies

  constructor (dependencies: SimulatedRouterDependencies) {
    this.#dependencies = dependencies
  }

  /** The region and data centre of the router. */
  get here (): Place {
    return this.#dependencies.here
  }

  /** Routes a session turn from before the run, so that its prompt is cached on the engine that the policy would have chosen. */
  warmUp (arrival: Arrival): void {
    const { policies, loadReports, engines } = this.#dependencies
    const plan = policies.version.plan(this.#versionRequest(arrival), this.#dependencies.candidates(), 0)
    if (!plan.ok) return
    const version = plan.val.steps.at(-1)!.version
    this.#dependencies.pinnedVersions.set(arrival.session!, version)
    const activeRequest = this.#activeRequestOf(arrival, Priority.Normal)
    const request = this.#endpointRequest(activeRequest, version, new Set())
    const choice = policies.endpoint.choose(request, loadReports.views(), 0)
    if (!choice.ok) return
    const attempt = policies.endpoint.open(request, choice.val, 0)
    attempt.close({ end: AttemptEnd.Cancelled, firstTokenMilliseconds: undefined, completionTokens: 0 }, 0)
    const { inputTokens, outputTokens, kind } = arrival.request
    engines.get(choice.val.endpoint.name)!.warmCache({
      session: arrival.session,
      prefixKey: request.prefixKey,
      sharedPrefixTokens: kind.sharedPrefixTokens,
      promptTokens: inputTokens,
      outputTokens
    })
  }

  /** Sends the digest of the learned version policy to the other routers; it arrives after the one-way latency between regions. */
  sendDigest (name: string, others: readonly SimulatedRouter[]): void {
    const { policies, time, user } = this.#dependencies
    if (!(policies.version instanceof LearnedVersionPolicy)) return
    const digest = policies.version.digest(name, 1)
    time.after(user.oneWayMilliseconds.region, () => others.filter(other => other !== this).forEach(other => other.#mergeDigest(digest)))
  }

  #mergeDigest (digest: VersionDigest): void {
    const { version } = this.#dependencies.policies
    if (version instanceof LearnedVersionPolicy) version.mergeDigest(digest)
  }

  /** Plans, admits and runs a request, or records its refusal. */
  serve (arrival: Arrival): void {
    const { policies, time, candidates } = this.#dependencies
    const now = time.now()
    const plan = policies.version.plan(this.#versionRequest(arrival), candidates(), now)
    if (!plan.ok) return this.#recordRefusal(arrival)
    const steps = plan.val.steps
    const priority = this.#admit(arrival, steps[0]!.version, now)
    if (priority === undefined) return this.#recordRefusal(arrival)
    policies.budget.recordFirstAttempt(now)
    this.#startAttempt({ activeRequest: this.#activeRequestOf(arrival, priority), steps, position: 0, excludedEndpoints: new Set(), earlierRatings: [] })
  }

  /** @returns the priority to run the request at, lowered to background beyond the organisation's share; undefined if it is refused */
  #admit (arrival: Arrival, version: VersionName, now: number): Priority | undefined {
    const { policies, user, loadReports } = this.#dependencies
    const priority = arrival.request.streamed ? Priority.Interactive : Priority.Normal
    if (policies.admission === undefined) return priority
    const organisation = user.organisations.find(entry => entry.name === arrival.request.organisation)!
    const { inputTokens, outputTokens } = arrival.request
    const admission = policies.admission.policyOf(version).admit({
      organisation: organisation.name,
      share: organisation.weight,
      totalShares: user.organisations.reduce((sum, entry) => sum + entry.weight, 0),
      priority,
      work: outputTokens + inputTokens / 4
    }, policies.admission.pressure(version, loadReports.views()), now)
    if (!admission.ok) return undefined
    return admission.val.withinShare ? priority : Priority.Background
  }

  #startAttempt (attempt: Attempt): void {
    const { policies, time, loadReports, engines, metrics } = this.#dependencies
    const { activeRequest, steps, position } = attempt
    const version = steps[position]!.version
    const request = this.#endpointRequest(activeRequest, version, attempt.excludedEndpoints)
    const outcome = policies.endpoint.choose(request, loadReports.views(), time.now())
    if (!outcome.ok) return this.#recordRefusal(activeRequest.arrival)
    const choice = outcome.val
    const handle = policies.endpoint.open(request, choice, time.now())
    const engine = engines.get(choice.endpoint.name)!
    const oneWayMilliseconds = this.#oneWayMillisecondsTo(choice.endpoint.place)
    if (activeRequest.isMeasured && choice.endpoint.place.region !== this.#dependencies.here.region) metrics.recordLinkBytes(RegionLinkBudget.estimateBytes(request.promptTokens, request.expectedCompletionTokens))
    time.after(oneWayMilliseconds, () => this.#submit(attempt, request, choice, handle, engine, oneWayMilliseconds))
  }

  #submit (attempt: Attempt, request: EndpointRequest, choice: EndpointChoice, handle: AttemptHandle, engine: SimulatedEngine, oneWayMilliseconds: number): void {
    const { time } = this.#dependencies
    const { activeRequest } = attempt
    const { request: worldRequest, session } = activeRequest.arrival
    const sentAt = time.now() - oneWayMilliseconds
    let firstAt: number | undefined
    let cached = 0
    const afterReturn = (run: () => void) => time.after(oneWayMilliseconds, run)
    engine.submit({
      promptTokens: worldRequest.inputTokens,
      outputTokens: worldRequest.outputTokens,
      priority: activeRequest.priority,
      deadline: activeRequest.deadline,
      session,
      prefixKey: request.prefixKey,
      sharedPrefixTokens: worldRequest.kind.sharedPrefixTokens,
      onFirstToken: cachedTokens => afterReturn(() => {
        cached = cachedTokens
        firstAt = time.now()
        handle.recordFirstToken(firstAt)
      }),
      onFinish: () => afterReturn(() => {
        const firstTokenMilliseconds = (firstAt ?? time.now()) - sentAt
        handle.close({ end: AttemptEnd.Answered, firstTokenMilliseconds, completionTokens: worldRequest.outputTokens }, time.now())
        this.#handleAnswer(attempt, engine, cached, firstAt ?? time.now())
      }),
      onFailure: () => afterReturn(() => this.#handleFailure(attempt, choice, handle))
    })
  }

  #handleFailure (attempt: Attempt, choice: EndpointChoice, handle: AttemptHandle): void {
    const { time, policies } = this.#dependencies
    const { activeRequest } = attempt
    const isPastDeadline = time.now() >= activeRequest.deadline
    handle.close({ end: isPastDeadline ? AttemptEnd.Cancelled : AttemptEnd.Failed, firstTokenMilliseconds: undefined, completionTokens: 0 }, time.now())
    if (isPastDeadline || !policies.budget.tryAcquire(time.now())) return this.#recordFailure(activeRequest)
    this.#startAttempt({ ...attempt, excludedEndpoints: new Set([...attempt.excludedEndpoints, choice.endpoint.name]) })
  }

  #handleAnswer (attempt: Attempt, engine: SimulatedEngine, cachedTokens: number, firstAt: number): void {
    const { metrics, ratings, time, policies } = this.#dependencies
    const { activeRequest, steps, position } = attempt
    const { request } = activeRequest.arrival
    const step = steps[position]!
    if (activeRequest.isMeasured) {
      metrics.recordPrefill(request.inputTokens, cachedTokens)
      metrics.recordCost(attemptCost(engine.options.version, request.inputTokens, cachedTokens, request.outputTokens))
    }
    const score = ratings.scoreOf(engine.options, request, time.now())
    if (step.releaseAtRating === undefined) {
      this.#releaseAnswer(attempt, score, firstAt)
      if (step.rateAfterwards) this.#rateAnswer(attempt, score, () => {})
      return
    }
    this.#rateAnswer(attempt, score, rating => {
      if (rating !== undefined && isReleased(step, rating)) return this.#releaseAnswer(attempt, score, time.now())
      if (rating === undefined) policies.version.observeRatingFailure(time.now())
      const earlierRatings = rating === undefined ? attempt.earlierRatings : [...attempt.earlierRatings, { version: step.version, rating }]
      this.#startAttempt({ ...attempt, position: nextPosition(steps, position, rating), excludedEndpoints: new Set(), earlierRatings })
    })
  }

  #rateAnswer (attempt: Attempt, score: number, onRating: (rating: number | undefined) => void): void {
    const { ratings, policies, time, metrics, world } = this.#dependencies
    const { activeRequest, steps, position } = attempt
    const { request } = activeRequest.arrival
    ratings.rate(score, rating => {
      if (rating !== undefined) {
        if (activeRequest.isMeasured) metrics.recordCost(world.ratingCost)
        policies.version.observeRating({
          organisation: request.organisation,
          kind: request.kind.name,
          version: steps[position]!.version,
          difficultyHint: request.difficultyHint,
          earlierRatings: attempt.earlierRatings,
          rating,
          at: time.now()
        })
      }
      onRating(rating)
    })
  }

  #releaseAnswer (attempt: Attempt, score: number, firstAt: number): void {
    const { time, user, world, metrics, pinnedVersions } = this.#dependencies
    const { activeRequest, steps, position } = attempt
    const { request, session } = activeRequest.arrival
    if (session !== undefined && !pinnedVersions.has(session)) pinnedVersions.set(session, steps[position]!.version)
    if (!activeRequest.isMeasured) return
    const clientRoundTripMilliseconds = 2 * user.oneWayMilliseconds.client
    metrics.recordOutcome({
      organisation: request.organisation,
      kind: request.kind.name,
      streamed: request.streamed,
      isGood: score >= world.goodScoreThreshold,
      metDeadline: time.now() + clientRoundTripMilliseconds <= activeRequest.deadline,
      firstTokenMilliseconds: firstAt - activeRequest.arrivedAt + clientRoundTripMilliseconds,
      betweenTokensMilliseconds: (time.now() - firstAt) / Math.max(1, request.outputTokens - 1),
      wasServedByBadVersion: this.#dependencies.ratings.isBad(steps[position]!.version, time.now())
    })
  }

  /** Records a request without an answer; the time its caller waited counts as its time to first token. */
  #recordFailure (activeRequest: ActiveRequest): void {
    if (!activeRequest.isMeasured) return
    const { request } = activeRequest.arrival
    const waitedMilliseconds = this.#dependencies.time.now() - activeRequest.arrivedAt
    this.#dependencies.metrics.recordOutcome({
      organisation: request.organisation,
      kind: request.kind.name,
      streamed: request.streamed,
      isGood: false,
      metDeadline: false,
      firstTokenMilliseconds: waitedMilliseconds,
      betweenTokensMilliseconds: 0,
      wasServedByBadVersion: false
    })
  }

  #recordRefusal (arrival: Arrival): void {
    if (this.#dependencies.isMeasured(arrival)) this.#dependencies.metrics.recordRefusal()
  }

  #activeRequestOf (arrival: Arrival, priority: Priority): ActiveRequest {
    const deadline = arrival.at + this.#dependencies.timeoutMillisecondsOf(arrival.request.kind.name)
    return { arrival, arrivedAt: arrival.at, deadline, priority, isMeasured: this.#dependencies.isMeasured(arrival) }
  }

  #versionRequest (arrival: Arrival) {
    const { request, session } = arrival
    return {
      organisation: request.organisation,
      kind: request.kind.name,
      pinnedVersion: session === undefined ? undefined : this.#dependencies.pinnedVersions.get(session),
      streamed: request.streamed,
      promptTokens: request.inputTokens,
      expectedCompletionTokens: request.outputTokens,
      difficultyHint: request.difficultyHint,
      remainingMilliseconds: this.#dependencies.timeoutMillisecondsOf(request.kind.name),
      qualityTarget: this.#dependencies.world.qualityTarget,
      opensSession: session !== undefined && arrival.turn === 0
    }
  }

  #endpointRequest (activeRequest: ActiveRequest, version: VersionName, excludedEndpoints: ReadonlySet<string>): EndpointRequest {
    const { arrival, deadline, priority } = activeRequest
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
      remainingMilliseconds: deadline - Math.max(arrival.at, this.#dependencies.time.now()),
      excludedEndpoints
    }
  }

  #oneWayMillisecondsTo (place: Place): number {
    const { here, user } = this.#dependencies
    if (place.dataCentre === here.dataCentre) return 0
    return place.region === here.region ? user.oneWayMilliseconds.dataCentre : user.oneWayMilliseconds.region
  }
}
