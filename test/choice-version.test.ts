import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { isReleased, nextPosition } from '../bench/planSteps.ts'
import { type Refusal, RefusalCode, SeededRandomness, type VersionName } from '../src/contract/index.ts'
import { LearnedVersionPolicy, type PlanStep, RatingDriftDetector, type VersionCandidate, type VersionDigest, type VersionRequest } from '../src/choice/index.ts'

const small: VersionCandidate = { name: 'small@1', price: 1, available: true }
const medium: VersionCandidate = { name: 'medium@1', price: 4, available: true }
const large: VersionCandidate = { name: 'large@1', price: 20, available: true }
const allCandidates = [large, small, medium]
const difficultyLimits = new Map<VersionName, number>([['small@1', 0.6], ['medium@1', 0.85], ['large@1', 0.97]])
const now = 1_700_000_000_000
const scoreSlope = 45
const ratingNoise = 6
const hintNoise = 0.15

function requestWith (overrides: Partial<VersionRequest> = {}): VersionRequest {
  return {
    organisation: 'harbour',
    kind: 'summary',
    pinnedVersion: undefined,
    streamed: false,
    promptTokens: 4_000,
    expectedCompletionTokens: 300,
    difficultyHint: 0.5,
    remainingMilliseconds: 120_000,
    qualityTarget: 0.9,
    ...overrides
  }
}

/** Serves requests of one kind as versions with known limits would, and adds up what came of it. */
class PolicySimulation {
  readonly policy: LearnedVersionPolicy
  readonly difficultyLimits = new Map(difficultyLimits)
  readonly #randomness: SeededRandomness

  constructor (seed: number) {
    this.policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(seed) })
    this.#randomness = new SeededRandomness(seed + 1_000)
  }

  serve (count: number, overrides: Partial<VersionRequest> = {}) {
    const totals = { requests: 0, good: 0, cost: 0 }
    for (let index = 0; index < count; index++) {
      const difficulty = this.#randomness.fraction()
      const difficultyHint = difficulty + hintNoise * this.#randomness.standardNormal()
      const request = requestWith({ difficultyHint, ...overrides })
      const steps = this.policy.plan(request, allCandidates, now).unwrap().steps
      this.#run(request, difficulty, steps, totals)
    }
    return { goodShare: totals.good / totals.requests, cost: totals.cost / totals.requests }
  }

  #run (request: VersionRequest, difficulty: number, steps: readonly PlanStep[], totals: { requests: number, good: number, cost: number }): void {
    const earlierRatings: { version: VersionName, rating: number }[] = []
    totals.requests += 1
    for (let position = 0; position < steps.length;) {
      const step = steps[position]!
      const score = Math.min(100, Math.max(0, 70 + scoreSlope * (this.difficultyLimits.get(step.version)! - difficulty)))
      const rating = Math.min(100, Math.max(0, score + ratingNoise * this.#randomness.standardNormal()))
      totals.cost += allCandidates.find(({ name }) => name === step.version)!.price
      const isLastStep = step.releaseAtRating === undefined
      if (!isLastStep || step.rateAfterwards) {
        this.policy.observeRating({ organisation: request.organisation, kind: request.kind, version: step.version, difficultyHint: request.difficultyHint, earlierRatings: [...earlierRatings], rating, at: now })
      }
      if (isLastStep || isReleased(step, rating)) {
        totals.good += score >= 70 ? 1 : 0
        return
      }
      earlierRatings.push({ version: step.version, rating })
      position = nextPosition(steps, position, rating)
    }
  }
}

/** A policy that knows the kind; for tests that learn nothing further. */
const trained = new PolicySimulation(2)
trained.serve(600)

describe('what a plan may hold', () => {
  test('a session that has its version is planned on that version alone', () => {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(1) })
    const plan = policy.plan(requestWith({ pinnedVersion: 'medium@1' }), allCandidates, now).unwrap()
    expect(plan.steps.map(step => step.version)).toEqual(['medium@1'])
    expect(plan.steps[0]!.releaseAtRating).toBeUndefined()
  })

  test('a session whose version is no longer among the candidates is refused, not moved', () => {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(1) })
    const outcome = policy.plan(requestWith({ pinnedVersion: 'medium@1' }), [small, large], now)
    expect((outcome.val as Refusal).code).toBe(RefusalCode.NoEndpoint)
    expect((outcome.val as Refusal).run).toBe('not_run')
  })

  test('any plan holds only available candidates, each once, and releases at its last step', () => {
    const availabilityArbitrary = fc.tuple(fc.boolean(), fc.boolean(), fc.boolean())
    fc.assert(fc.property(availabilityArbitrary, fc.boolean(), fc.option(fc.double({ min: -0.5, max: 1.5, noNaN: true }), { nil: undefined }), (available, streamed, difficultyHint) => {
      const candidates = [small, medium, large].map((candidate, index) => ({ ...candidate, available: available[index]! }))
      const planned = trained.policy.plan(requestWith({ streamed, difficultyHint }), candidates, now)
      if (!available.includes(true)) return planned.err
      const names = planned.unwrap().steps.map(step => step.version)
      const usable = candidates.filter(candidate => candidate.available).map(candidate => candidate.name)
      return names.every(name => usable.includes(name)) && new Set(names).size === names.length &&
        planned.unwrap().steps.at(-1)!.releaseAtRating === undefined
    }), { seed: 5, numRuns: 200 })
  })

  test('a streamed request never waits for a rating, nor does one that is due soon', () => {
    for (let index = 0; index < 50; index++) {
      const difficultyHint = index / 50
      expect(trained.policy.plan(requestWith({ streamed: true, difficultyHint }), allCandidates, now).unwrap().steps).toHaveLength(1)
      expect(trained.policy.plan(requestWith({ remainingMilliseconds: 2_000, difficultyHint }), allCandidates, now).unwrap().steps).toHaveLength(1)
    }
  })
})

describe('what is learned', () => {
  test('with nothing known the dearest version answers, whether streamed or after a cheaper one was rated', () => {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(4) })
    for (let index = 0; index < 100; index++) {
      expect(policy.plan(requestWith(), allCandidates, now).unwrap().steps.at(-1)!.version).toBe('large@1')
    }
  })

  test('the target is met over all requests, learning included, at well under half the cost of the dearest version', () => {
    const served = new PolicySimulation(5).serve(4_000)
    expect(served.goodShare).toBeGreaterThanOrEqual(0.9)
    expect(served.cost).toBeLessThan(0.45 * large.price)
  })

  test('streamed requests go by their hint: easy ones to cheaper versions than hard ones', () => {
    const simulation = new PolicySimulation(6)
    simulation.serve(2_000)
    const priceAt = (difficultyHint: number) => {
      const versions = Array.from({ length: 40 }, () => simulation.policy.plan(requestWith({ streamed: true, difficultyHint }), allCandidates, now).unwrap().steps[0]!.version)
      return versions.reduce((sum, version) => sum + allCandidates.find(({ name }) => name === version)!.price, 0) / versions.length
    }
    expect(priceAt(0.05)).toBeLessThan(priceAt(0.8))
  })

  test('a version that turns bad while serving is soon used less, and quality recovers', () => {
    const simulation = new PolicySimulation(7)
    simulation.serve(2_500)
    simulation.difficultyLimits.set('small@1', 0.1)
    simulation.serve(500)
    expect(simulation.serve(2_000).goodShare).toBeGreaterThan(0.88)
  })

  test('a kind that was never seen is answered by the dearest version although other kinds are known', () => {
    const steps = trained.policy.plan(requestWith({ kind: 'rare' }), allCandidates, now).unwrap().steps
    expect(steps.at(-1)!.version).toBe('large@1')
  })

  test('when ratings fail to come, no answer is planned to wait for one until a while later', () => {
    trained.policy.observeRatingFailure(now)
    const stepsAt = (at: number) => Array.from({ length: 40 }, (_, index) => trained.policy.plan(requestWith({ difficultyHint: index / 40 }), allCandidates, at).unwrap().steps.length)
    expect(Math.max(...stepsAt(now + 1_000))).toBe(1)
    expect(Math.max(...stepsAt(now + 10_000))).toBeGreaterThan(1)
  })
})

describe('what daemons tell each other', () => {
  function trainPolicy (seed: number): LearnedVersionPolicy {
    const simulation = new PolicySimulation(seed)
    simulation.serve(400)
    return simulation.policy
  }

  /** What a policy would plan without chance and without learning more. */
  function plansAfterMerging (digests: readonly VersionDigest[]): string {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(1) })
    for (const digest of digests) policy.mergeDigest(digest)
    const plans = Array.from({ length: 40 }, (_, index) => policy.plan(requestWith({ difficultyHint: index / 40 }), allCandidates, now).unwrap())
    return JSON.stringify(plans)
  }

  test('digests may come in any order, repeatedly and late: the same is learned', () => {
    const firstPolicy = trainPolicy(20)
    const earlyDigest = firstPolicy.digest('one', 1)
    const digests = [firstPolicy.digest('one', 1), trainPolicy(21).digest('two', 1), trainPolicy(22).digest('three', 4)]
    const expected = plansAfterMerging(digests)
    fc.assert(fc.property(fc.shuffledSubarray([...digests, ...digests, earlyDigest], { minLength: 7 }), order => {
      return plansAfterMerging(order) === expected
    }), { seed: 6, numRuns: 12 })
  })

  test('a later process of a daemon replaces what its earlier one told', () => {
    const previousProcess = trainPolicy(23).digest('one', 1)
    const restarted = trainPolicy(24).digest('one', 2)
    expect(plansAfterMerging([restarted, previousProcess])).toBe(plansAfterMerging([restarted]))
  })

  test('a daemon that was just started chooses well at once by what others tell, also for an organisation new to all', () => {
    const simulation = new PolicySimulation(25)
    simulation.serve(2_000)
    const startedLater = new PolicySimulation(26)
    startedLater.policy.mergeDigest(simulation.policy.digest('one', 1))
    const served = startedLater.serve(400, { organisation: 'mill' })
    expect(served.goodShare).toBeGreaterThan(0.86)
    expect(served.cost).toBeLessThan(0.6 * large.price)
  })
})

test('the drift watch is silent on noise and raises the alarm within dozens of ratings of a fall', () => {
  const randomness = new SeededRandomness(30)
  const detector = new RatingDriftDetector()
  const alarms = Array.from({ length: 5_000 }, () => detector.observe(randomness.standardNormal())).filter(Boolean)
  expect(alarms.length).toBeLessThanOrEqual(1)
  const alarmsAfterShift = Array.from({ length: 40 }, () => detector.observe(1.5 + randomness.standardNormal()))
  expect(alarmsAfterShift.indexOf(true)).toBeGreaterThanOrEqual(0)
  expect(alarmsAfterShift.indexOf(true)).toBeLessThan(25)
})
