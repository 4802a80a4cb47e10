import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { type FailureCountsByKind, KindVerdict, judgeKinds } from '../src/placement/index.ts'

const oldAnswersPerKind = 20
const trials = 200

interface Trial {
  readonly kinds: number
  readonly requests: number
  /** Share of the requests of a kind that fail at the new version. */
  readonly newRate: (kind: number) => number
  readonly oldRate: (kind: number) => number
  readonly seed: number
}

/** Judges a version after each request; returns the verdict at which that ends. */
function judgeOneByOne ({ kinds, requests, newRate, oldRate, seed }: Trial): KindVerdict {
  const randomness = new SeededRandomness(seed)
  const counts = (count: number, failures: number) => ({ answers: count, failures })
  const failuresOf = (count: number, rate: number) => Array.from({ length: count }).filter(() => randomness.fraction() < rate).length
  const old: FailureCountsByKind = Object.fromEntries(Array.from({ length: kinds }, (_, kind) => [kind, counts(oldAnswersPerKind, failuresOf(oldAnswersPerKind, oldRate(kind)))]))
  const seen: Record<string, { answers: number, failures: number }> = {}
  let verdict: KindVerdict = KindVerdict.Unsuspicious
  for (let request = 0; request < requests && verdict !== KindVerdict.Bad; request++) {
    const kind = randomness.integerBelow(kinds)
    const { answers, failures } = seen[kind] ?? counts(0, 0)
    seen[kind] = counts(answers + 1, failures + failuresOf(1, newRate(kind)))
    verdict = judgeKinds(seen, old)
  }
  return verdict
}

function shareOf (verdicts: readonly KindVerdict[], trial: Omit<Trial, 'seed'>): number {
  const results = Array.from({ length: trials }, (_, seed) => judgeOneByOne({ ...trial, seed: seed + 1 }))
  return results.filter(result => verdicts.includes(result)).length / trials
}

test.each([3, 5, 10, 30])('a sound version with %d kinds of requests that are looked at after each answer is not called bad', kinds => {
  for (const rate of [0.01, 0.06, 0.13]) {
    expect(shareOf([KindVerdict.Bad], { kinds, requests: 400, newRate: () => rate, oldRate: () => Math.min(rate, 0.06) })).toBeLessThanOrEqual(0.03)
  }
})

test.each([3, 5, 10, 30])('a kind among %d that fails at both versions is no fault of the new one', kinds => {
  const rate = (kind: number) => kind === 0 ? 0.4 : 0.01
  expect(shareOf([KindVerdict.Bad], { kinds, requests: 300, newRate: rate, oldRate: rate })).toBeLessThanOrEqual(0.05)
})

test.each([[3, 40, 0.9], [3, 100, 0.98], [10, 400, 0.95], [30, 1_500, 0.95]])('a version that fails half of one kind among %d is doubted or bad after %d requests, in a share of %d', (kinds, requests, share) => {
  expect(shareOf([KindVerdict.Bad, KindVerdict.Doubtful], { kinds, requests, newRate: kind => kind === 0 ? 0.5 : 0.01, oldRate: () => 0.01 })).toBeGreaterThanOrEqual(share)
})

test('nothing is known of a version without answers', () => {
  expect(judgeKinds({}, {})).toBe(KindVerdict.Unsuspicious)
})
