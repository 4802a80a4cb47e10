import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { isReleased, nextPosition } from '../bench/planSteps.ts'
import { type Refusal, RefusalCode, SeededRandomness, type VersionName } from '../src/contract/index.ts'
import { LearnedVersionPolicy, type PlanStep, RatingDriftDetector, type VersionCandidate, type VersionDigest, type VersionRequest } from '../src/choice/index.ts'

const small: VersionCandidate = { name: 'small@1', price: 1, available: true }
const medium: VersionCandidate = { name: 'medium@1', price: 4, available: true }
const large: VersionCandidate = { name: 'large@1', price: 20, available: true }
const all = [large, small, medium]
const limits = new Map<VersionName, number>([['small@1', 0.6], ['medium@1', 0.85], ['large@1', 0.97]])
const now = 1_700_000_000_000
const slope = 45
const ratingNoise = 6
const hintNoise = 0.15

function requestOf (changes: Partial<VersionRequest> = {}): VersionRequest {
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
    ...changes
  }
}

/** Serves requests of one kind as versions with known limits would, and adds up what came of it. */
class Trial {
  readonly policy: LearnedVersionPolicy
  readonly limits = new Map(limits)
  readonly #randomness: SeededRandomness

  constructor (seed: number) {
    this.policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(seed) })
    this.#randomness = new SeededRandomness(seed + 1_000)
  }

  serve (count: number, changes: Partial<VersionRequest> = {}) {
    const sums = { requests: 0, good: 0, cost: 0 }
    for (let index = 0; index < count; index++) {
      const difficulty = this.#randomness.fraction()
      const difficultyHint = difficulty + hintNoise * this.#randomness.normal()
      const request = requestOf({ difficultyHint, ...changes })
      const steps = this.policy.plan(request, all, now).unwrap().steps
      this.#run(request, difficulty, steps, sums)
    }
    return { goodShare: sums.good / sums.requests, cost: sums.cost / sums.requests }
  }

  #run (request: VersionRequest, difficulty: number, steps: readonly PlanStep[], sums: { requests: number, good: number, cost: number }): void {
    const earlier: { version: VersionName, rating: number }[] = []
    sums.requests += 1
    for (let position = 0; position < steps.length;) {
      const step = steps[position]!
      const score = Math.min(100, Math.max(0, 70 + slope * (this.limits.get(step.version)! - difficulty)))
      const rating = Math.min(100, Math.max(0, score + ratingNoise * this.#randomness.normal()))
      sums.cost += all.find(({ name }) => name === step.version)!.price
      const last = step.releaseAtRating === undefined
      if (!last || step.rateAfterwards) {
        this.policy.observeRating({ organisation: request.organisation, kind: request.kind, version: step.version, difficultyHint: request.difficultyHint, earlierRatings: [...earlier], rating, at: now })
      }
      if (last || isReleased(step, rating)) {
        sums.good += score >= 70 ? 1 : 0
        return
      }
      earlier.push({ version: step.version, rating })
      position = nextPosition(steps, position, rating)
    }
  }
}

/** A policy that knows the kind; for tests that learn nothing further. */
const known = new Trial(2)
known.serve(600)

describe('what a plan may hold', () => {
  test('a session that has its version is planned on that version alone', () => {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(1) })
    const plan = policy.plan(requestOf({ pinnedVersion: 'medium@1' }), all, now).unwrap()
    expect(plan.steps.map(step => step.version)).toEqual(['medium@1'])
    expect(plan.steps[0]!.releaseAtRating).toBeUndefined()
  })

  test('a session whose version is no longer among the candidates is refused, not moved', () => {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(1) })
    const refused = policy.plan(requestOf({ pinnedVersion: 'medium@1' }), [small, large], now)
    expect((refused.val as Refusal).code).toBe(RefusalCode.NoEndpoint)
    expect((refused.val as Refusal).run).toBe('not_run')
  })

  test('any plan holds only available candidates, each once, and releases at its last step', () => {
    const flags = fc.tuple(fc.boolean(), fc.boolean(), fc.boolean())
    fc.assert(fc.property(flags, fc.boolean(), fc.option(fc.double({ min: -0.5, max: 1.5, noNaN: true }), { nil: undefined }), (available, streamed, difficultyHint) => {
      const candidates = [small, medium, large].map((candidate, index) => ({ ...candidate, available: available[index]! }))
      const planned = known.policy.plan(requestOf({ streamed, difficultyHint }), candidates, now)
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
      expect(known.policy.plan(requestOf({ streamed: true, difficultyHint }), all, now).unwrap().steps).toHaveLength(1)
      expect(known.policy.plan(requestOf({ remainingMilliseconds: 2_000, difficultyHint }), all, now).unwrap().steps).toHaveLength(1)
    }
  })
})

describe('what is learned', () => {
  test('with nothing known the dearest version answers, whether streamed or after a cheaper one was rated', () => {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(4) })
    for (let index = 0; index < 100; index++) {
      expect(policy.plan(requestOf(), all, now).unwrap().steps.at(-1)!.version).toBe('large@1')
    }
  })

  test('the target is met over all requests, learning included, at well under half the cost of the dearest version', () => {
    const served = new Trial(5).serve(4_000)
    expect(served.goodShare).toBeGreaterThanOrEqual(0.9)
    expect(served.cost).toBeLessThan(0.45 * large.price)
  })

  test('streamed requests go by their hint: easy ones to cheaper versions than hard ones', () => {
    const trial = new Trial(6)
    trial.serve(2_000)
    const priceAt = (difficultyHint: number) => {
      const versions = Array.from({ length: 40 }, () => trial.policy.plan(requestOf({ streamed: true, difficultyHint }), all, now).unwrap().steps[0]!.version)
      return versions.reduce((sum, version) => sum + all.find(({ name }) => name === version)!.price, 0) / versions.length
    }
    expect(priceAt(0.05)).toBeLessThan(priceAt(0.8))
  })

  test('a version that turns bad while serving is soon used less, and quality recovers', () => {
    const trial = new Trial(7)
    trial.serve(2_500)
    trial.limits.set('small@1', 0.1)
    trial.serve(500)
    expect(trial.serve(2_000).goodShare).toBeGreaterThan(0.88)
  })

  test('a kind that was never seen is answered by the dearest version although other kinds are known', () => {
    const steps = known.policy.plan(requestOf({ kind: 'rare' }), all, now).unwrap().steps
    expect(steps.at(-1)!.version).toBe('large@1')
  })

  test('when ratings fail to come, no answer is planned to wait for one until a while later', () => {
    known.policy.observeRatingFailure(now)
    const stepsAt = (at: number) => Array.from({ length: 40 }, (_, index) => known.policy.plan(requestOf({ difficultyHint: index / 40 }), all, at).unwrap().steps.length)
    expect(Math.max(...stepsAt(now + 1_000))).toBe(1)
    expect(Math.max(...stepsAt(now + 10_000))).toBeGreaterThan(1)
  })
})

describe('what daemons tell each other', () => {
  function teach (seed: number): LearnedVersionPolicy {
    const trial = new Trial(seed)
    trial.serve(400)
    return trial.policy
  }

  /** What a policy would plan without chance and without learning more. */
  function behaviourOf (digests: readonly VersionDigest[]): string {
    const policy = new LearnedVersionPolicy({ randomness: new SeededRandomness(1) })
    for (const digest of digests) policy.mergeDigest(digest)
    const plans = Array.from({ length: 40 }, (_, index) => policy.plan(requestOf({ difficultyHint: index / 40 }), all, now).unwrap())
    return JSON.stringify(plans)
  }

  test('digests may come in any order, repeatedly and late: the same is learned', () => {
    const one = teach(20)
    const early = one.digest('one', 1)
    const digests = [one.digest('one', 1), teach(21).digest('two', 1), teach(22).digest('three', 4)]
    const expected = behaviourOf(digests)
    fc.assert(fc.property(fc.shuffledSubarray([...digests, ...digests, early], { minLength: 7 }), order => {
      return behaviourOf(order) === expected
    }), { seed: 6, numRuns: 12 })
  })

  test('a later process of a daemon replaces what its earlier one told', () => {
    const old = teach(23).digest('one', 1)
    const restarted = teach(24).digest('one', 2)
    expect(behaviourOf([restarted, old])).toBe(behaviourOf([restarted]))
  })

  test('a daemon that was just started chooses well at once by what others tell, also for an organisation new to all', () => {
    const trial = new Trial(25)
    trial.serve(2_000)
    const started = new Trial(26)
    started.policy.mergeDigest(trial.policy.digest('one', 1))
    const served = started.serve(400, { organisation: 'mill' })
    expect(served.goodShare).toBeGreaterThan(0.86)
    expect(served.cost).toBeLessThan(0.6 * large.price)
  })
})

test('the drift watch is silent on noise and raises the alarm within dozens of ratings of a fall', () => {
  const randomness = new SeededRandomness(30)
  const watch = new RatingDriftDetector()
  const alarms = Array.from({ length: 5_000 }, () => watch.observe(randomness.normal())).filter(Boolean)
  expect(alarms.length).toBeLessThanOrEqual(1)
  const after = Array.from({ length: 40 }, () => watch.observe(1.5 + randomness.normal()))
  expect(after.indexOf(true)).toBeGreaterThanOrEqual(0)
  expect(after.indexOf(true)).toBeLessThan(25)
})
