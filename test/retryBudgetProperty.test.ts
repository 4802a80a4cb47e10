import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { type RetryLimits, SeededRandomness } from '../src/contract/index.ts'
import { RetryBudget } from '../src/placement/index.ts'
import { ServiceCount, tickMilliseconds } from './fakes/retryWorld.ts'

const service = 'engines'
const limitsOf = (slack: number): RetryLimits => ({ ratio: 0.9, windowMilliseconds: 10_000, slack })
const fleets = [[8, 56], [90, 222], [195, 430], [1_000, 600]] as const
const repeatsWanted = 4

/** A stretch of time with its own demand. */
interface Phase {
  readonly ticks: number
  readonly requestsPerSecond: number
  /** The gateways that callers reach: so many, from this one on. */
  readonly from: number
  readonly reached: number
  /** A gateway is replaced each time that so many ticks have passed. */
  readonly replacementTicks: number
}

const phaseArbitrary: fc.Arbitrary<Phase> = fc.record({
  ticks: fc.integer({ min: 10, max: 300 }),
  requestsPerSecond: fc.constantFrom(0, 1, 12, 60, 200),
  from: fc.nat(1_000),
  reached: fc.integer({ min: 1, max: 1_000 }),
  replacementTicks: fc.constantFrom(2, 6, 30, 1_000)
})

/** Plays phases in which each request is to be repeated as often as is allowed; one that starts has no part of the slack. */
function play (size: number, limits: RetryLimits, phases: readonly Phase[], seed: number): ServiceCount {
  const randomness = new SeededRandomness(seed)
  const count = new ServiceCount()
  const clockOffset = randomness.fraction() * 1_000
  const gateways = Array.from({ length: size }, () => new RetryBudget(limits, () => 1 / size))
  let tick = 0
  let replaced = 0
  for (const phase of phases) {
    for (const end = tick + phase.ticks; tick < end; tick++) {
      if (tick > 0 && tick % phase.replacementTicks === 0) gateways[replaced++ % size] = new RetryBudget(limits, () => 0)
      const now = clockOffset + tick * tickMilliseconds
      const arrivals = Math.floor(phase.requestsPerSecond * tickMilliseconds / 1_000 + randomness.fraction())
      for (let arrival = 0; arrival < arrivals; arrival++) {
        gateways[(phase.from + randomness.integerBelow(Math.min(phase.reached, size))) % size]!.recordRequest(service, now)
        count.addRequest(tick)
      }
      const tries = arrivals * repeatsWanted + 1
      for (let attempt = 0; attempt < tries; attempt++) {
        if (gateways[(phase.from + randomness.integerBelow(size)) % size]!.tryConsume(service, now)) count.addRepeat(tick)
      }
    }
  }
  return count
}

test.each(fleets)('the repeats of %i gateways keep within a slack of %i and the ratio, however demand falls and moves and gateways are replaced', (size, slack) => {
  const limits = limitsOf(slack)
  fc.assert(fc.property(fc.array(phaseArbitrary, { minLength: 2, maxLength: 8 }), fc.integer(), (phases, seed) => {
    const { repeats, allowed } = play(size, limits, phases, seed).worstWindow(limits)
    expect(repeats).toBeLessThanOrEqual(allowed)
  }), { seed: 48, endOnFailure: true, numRuns: 60 })
})

test.each(fleets)('%i gateways whose callers fall silent send no more than a slack of %i and what requests allow', (size, slack) => {
  const limits = limitsOf(slack)
  const busy = { ticks: 500, requestsPerSecond: 60, from: 0, reached: size, replacementTicks: 1_000 }
  const { repeats, allowed } = play(size, limits, [busy, { ...busy, requestsPerSecond: 1 }], 48).worstWindow(limits)
  expect(repeats).toBeLessThanOrEqual(allowed)
})

test.each(fleets)('callers of %i gateways with a slack of %i get most of the repeats that are allowed in steady traffic', (size, slack) => {
  const limits = limitsOf(slack)
  const steady = { ticks: 1_000, requestsPerSecond: 2 * size, from: 0, reached: size, replacementTicks: 1_000_000 }
  expect(play(size, limits, [steady], 48).usedShare(limits, 500)).toBeGreaterThan(0.85)
})

test('a window in which nothing is repeated leaves a gateway half of what its requests allow for the moment in which all break off', () => {
  const budget = new RetryBudget(limitsOf(0), () => 0)
  for (let now = 0; now < 20_000; now += 100) budget.recordRequest(service, now)
  let repeats = 0
  while (budget.tryConsume(service, 19_990)) repeats++
  expect(repeats).toBeGreaterThanOrEqual(44)
})
