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

/** Simulates requests of one kind at versions with known difficulty limits and sums cost and good answers. */
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

/** A simulation whose policy has learned the kind, shared by tests that serve no further requests. */
const trained = new PolicySimulation(2)
trained.serve(600)

describe('the steps of a plan', () => {
  test('a session with a pinned version is planned on that version alone', () => {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(1) })
    const plan = policy.plan(requestWith({ pinnedVersion: 'medium@1' }), allCandidates, now).unwrap()
    expect(plan.steps.map(step => step.version)).toEqual(['medium@1'])
    expect(plan.steps[0]!.releaseAtRating).toBeUndefined()
  })

  test('a session whose pinned version is no longer a candidate is refused and not moved', () => {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(1) })
    const outcome = policy.plan(requestWith({ pinnedVersion: 'medium@1' }), [small, large], now)
    expect((outcome.val as Refusal).code).toBe(RefusalCode.NoEndpoint)
    expect((outcome.val as Refusal).run).toBe('not_run')
  })

  test('every plan contains only available candidates, each once, and releases at its last step', () => {
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

  test('a streamed request and one with a near deadline never wait for a rating', () => {
    for (let index = 0; index < 50; index++) {
      const difficultyHint = index / 50
      expect(trained.policy.plan(requestWith({ streamed: true, difficultyHint }), allCandidates, now).unwrap().steps).toHaveLength(1)
      expect(trained.policy.plan(requestWith({ remainingMilliseconds: 2_000, difficultyHint }), allCandidates, now).unwrap().steps).toHaveLength(1)
    }
  })
})

describe('learning from ratings', () => {
  test('before any rating the most expensive version is the last step', () => {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(4) })
    for (let index = 0; index < 100; index++) {
      expect(policy.plan(requestWith(), allCandidates, now).unwrap().steps.at(-1)!.version).toBe('large@1')
    }
  })

  test('the quality target is met over all requests, including the learning phase, at less than 45 % of the cost of the most expensive version', () => {
    const served = new PolicySimulation(5).serve(4_000)
    expect(served.goodShare).toBeGreaterThanOrEqual(0.9)
    expect(served.cost).toBeLessThan(0.45 * large.price)
  })

  test('streamed requests with a low difficulty hint go to cheaper versions than those with a high one', () => {
    const simulation = new PolicySimulation(6)
    simulation.serve(2_000)
    const priceAt = (difficultyHint: number) => {
      const versions = Array.from({ length: 40 }, () => simulation.policy.plan(requestWith({ streamed: true, difficultyHint }), allCandidates, now).unwrap().steps[0]!.version)
      return versions.reduce((sum, version) => sum + allCandidates.find(({ name }) => name === version)!.price, 0) / versions.length
    }
    expect(priceAt(0.05)).toBeLessThan(priceAt(0.8))
  })

  test('quality recovers after a version degrades while serving', () => {
    const simulation = new PolicySimulation(7)
    simulation.serve(2_500)
    simulation.difficultyLimits.set('small@1', 0.1)
    simulation.serve(500)
    expect(simulation.serve(2_000).goodShare).toBeGreaterThan(0.88)
  })

  test('an unknown kind is answered by the most expensive version although other kinds are known', () => {
    const steps = trained.policy.plan(requestWith({ kind: 'rare' }), allCandidates, now).unwrap().steps
    expect(steps.at(-1)!.version).toBe('large@1')
  })

  test('after a rating failure no plan waits for a rating for a while', () => {
    trained.policy.observeRatingFailure(now)
    const stepsAt = (at: number) => Array.from({ length: 40 }, (_, index) => trained.policy.plan(requestWith({ difficultyHint: index / 40 }), allCandidates, at).unwrap().steps.length)
    expect(Math.max(...stepsAt(now + 1_000))).toBe(1)
    expect(Math.max(...stepsAt(now + 10_000))).toBeGreaterThan(1)
  })
})

describe('digests exchanged between daemons', () => {
  function trainPolicy (seed: number): LearnedVersionPolicy {
    const simulation = new PolicySimulation(seed)
    simulation.serve(400)
    return simulation.policy
  }

  /** Serialises the plans of a fresh policy with a fixed seed that has merged the digests and learned nothing else. */
  function plansAfterMerging (digests: readonly VersionDigest[]): string {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(1) })
    for (const digest of digests) policy.mergeDigest(digest)
    const plans = Array.from({ length: 40 }, (_, index) => policy.plan(requestWith({ difficultyHint: index / 40 }), allCandidates, now).unwrap())
    return JSON.stringify(plans)
  }

  test('merging digests in any order, repeatedly and late gives the same result', () => {
    const firstPolicy = trainPolicy(20)
    const earlyDigest = firstPolicy.digest('one', 1)
    const digests = [firstPolicy.digest('one', 1), trainPolicy(21).digest('two', 1), trainPolicy(22).digest('three', 4)]
    const expected = plansAfterMerging(digests)
    fc.assert(fc.property(fc.shuffledSubarray([...digests, ...digests, earlyDigest], { minLength: 7 }), order => {
      return plansAfterMerging(order) === expected
    }), { seed: 6, numRuns: 12 })
  })

  test('a digest of a restarted daemon replaces that of its earlier process', () => {
    const previousProcess = trainPolicy(23).digest('one', 1)
    const restarted = trainPolicy(24).digest('one', 2)
    expect(plansAfterMerging([restarted, previousProcess])).toBe(plansAfterMerging([restarted]))
  })

  test('a daemon that was just started plans well at once from the digests of others, also for an unknown organisation', () => {
    const simulation = new PolicySimulation(25)
    simulation.serve(2_000)
    const startedLater = new PolicySimulation(26)
    startedLater.policy.mergeDigest(simulation.policy.digest('one', 1))
    const served = startedLater.serve(400, { organisation: 'mill' })
    expect(served.goodShare).toBeGreaterThan(0.86)
    expect(served.cost).toBeLessThan(0.6 * large.price)
  })
})

test('the drift detector ignores noise and raises an alarm within 25 ratings of a shift', () => {
  const randomness = new SeededRandomness(30)
  const detector = new RatingDriftDetector()
  const alarms = Array.from({ length: 5_000 }, () => detector.observe(randomness.standardNormal())).filter(Boolean)
  expect(alarms.length).toBeLessThanOrEqual(1)
  const alarmsAfterShift = Array.from({ length: 40 }, () => detector.observe(1.5 + randomness.standardNormal()))
  expect(alarmsAfterShift.indexOf(true)).toBeGreaterThanOrEqual(0)
  expect(alarmsAfterShift.indexOf(true)).toBeLessThan(25)
})
