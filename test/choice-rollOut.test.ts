import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { type RollOutEvidence, RollOutVerdict, SequentialRollOutGuard } from '../src/choice/index.ts'

const from = 'small@1'
const to = 'small@2'

/** Generates ratings that fall with the difficulty hint, equally for both versions. */
class EvidenceGenerator {
  readonly #randomness: SeededRandomness

  constructor (seed: number) {
    this.#randomness = new SeededRandomness(seed)
  }

  withRating (version: typeof from | typeof to, ratingShift = 0): RollOutEvidence {
    const hint = this.#randomness.fraction()
    const rating = Math.min(100, Math.max(0, 100 - 40 * hint + ratingShift + 9 * this.#randomness.standardNormal()))
    return { version, kind: 'tagging', rating, difficultyHint: hint, at: 0 }
  }

  failed (version: typeof from | typeof to): RollOutEvidence {
    return { ...this.withRating(version), rating: undefined }
  }
}

function createWithBaseline (seed: number): { guard: SequentialRollOutGuard, evidence: EvidenceGenerator } {
  const guard = new SequentialRollOutGuard({ from, to })
  const evidence = new EvidenceGenerator(seed)
  for (let index = 0; index < 60; index++) guard.observe(evidence.withRating(from))
  return { guard, evidence }
}

test('a version rated 20 points lower is halted within 60 ratings and stays halted', () => {
  for (let seed = 1; seed <= 50; seed++) {
    const { guard, evidence } = createWithBaseline(seed)
    let rated = 0
    while (guard.verdict() !== RollOutVerdict.Halt && rated < 60) {
      guard.observe(evidence.withRating(to, -20))
      rated += 1
    }
    expect(rated).toBeLessThan(60)
    guard.observe(evidence.withRating(to, 20))
    expect(guard.verdict()).toBe(RollOutVerdict.Halt)
  }
})

test('fewer than 1 % of 2000 good roll-outs are halted within 150 ratings', () => {
  let halted = 0
  for (let seed = 1; seed <= 2_000; seed++) {
    const { guard, evidence } = createWithBaseline(10_000 + seed)
    for (let index = 0; index < 150; index++) guard.observe(evidence.withRating(to))
    halted += guard.halted ? 1 : 0
  }
  expect(halted).toBeLessThan(20)
})

test('a good version advances step by step, each time on new evidence', () => {
  const { guard, evidence } = createWithBaseline(3)
  const verdicts = Array.from({ length: 200 }, () => {
    guard.observe(evidence.withRating(to))
    return guard.verdict()
  })
  const steps = verdicts.flatMap((verdict, index) => verdict === RollOutVerdict.Advance ? [index] : [])
  expect(steps.length).toBeGreaterThanOrEqual(4)
  expect(steps[0]).toBeGreaterThanOrEqual(11)
  expect(steps[1]! - steps[0]!).toBeGreaterThanOrEqual(12)
})

test('a new version is halted on failures alone, without any rating', () => {
  const { guard, evidence } = createWithBaseline(4)
  for (let index = 0; index < 12; index++) guard.observe(evidence.failed(to))
  expect(guard.verdict()).toBe(RollOutVerdict.Halt)
})

test('a new version is halted when its attempts are slow, however they are rated', () => {
  const { guard, evidence } = createWithBaseline(4)
  for (let index = 0; index < 100; index++) guard.observeTime(from, index % 20 === 0)
  for (let index = 0; index < 40; index++) {
    guard.observe(evidence.withRating(to))
    guard.observeTime(to, index % 2 === 0)
  }
  expect(guard.verdict()).toBe(RollOutVerdict.Halt)
})

test('slow attempts at the same rate as with the old version do not halt the new one', () => {
  for (let seed = 1; seed <= 300; seed++) {
    const guard = new SequentialRollOutGuard({ from, to })
    const randomness = new SeededRandomness(seed)
    for (let index = 0; index < 300; index++) guard.observeTime(from, randomness.fraction() < 0.1)
    for (let index = 0; index < 150; index++) guard.observeTime(to, randomness.fraction() < 0.1)
    expect(guard.halted).toBe(false)
  }
})

test('failures at the same rate as the old version do not halt the new one', () => {
  const guard = new SequentialRollOutGuard({ from, to })
  const evidence = new EvidenceGenerator(5)
  for (let index = 0; index < 600; index++) guard.observe(index % 5 === 0 ? evidence.failed(from) : evidence.withRating(from))
  for (let index = 0; index < 300; index++) guard.observe(index % 5 === 0 ? evidence.failed(to) : evidence.withRating(to))
  expect(guard.halted).toBe(false)
})

test('more difficult requests at the new version are not mistaken for lower quality', () => {
  const { guard } = createWithBaseline(6)
  const randomness = new SeededRandomness(7)
  for (let index = 0; index < 200; index++) {
    const difficultyHint = 0.7 + 0.3 * randomness.fraction()
    guard.observe({ version: to, kind: 'tagging', rating: 100 - 40 * difficultyHint + 9 * randomness.standardNormal(), difficultyHint, at: 0 })
  }
  expect(guard.halted).toBe(false)
})

test('ratings of a kind count only after the old version was rated on that kind', () => {
  const { guard, evidence } = createWithBaseline(8)
  for (let index = 0; index < 40; index++) guard.observe({ ...evidence.withRating(to, -60), kind: 'lookup' })
  expect(guard.halted).toBe(false)
  for (let index = 0; index < 40; index++) guard.observe({ ...evidence.withRating(from), kind: 'lookup' })
  expect(guard.halted).toBe(true)
})
