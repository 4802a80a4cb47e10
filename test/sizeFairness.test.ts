import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { GatewayFleet } from './fakes/gatewayFleet.ts'
import { type RequestKind, StreamCallers, servedBySize } from './fakes/streamCallers.ts'

const usualPaces = { small: 0.3, medium: 0.8, large: 3 }
const usualTimeoutMilliseconds = 20_000
const trafficMilliseconds = 20_000
/** A class of sizes must be served at least this share as often as its kind. */
const minimumShare = 0.5
/** Least share of answers of the largest model at the usual confidence, 40 to 52 of 100. */
const minimumLargeShare = 0.35

/** Short prompts with answers of widely different lengths, and long prompts beside them. */
function kindsAt ({ load, answerSpread }: Mix): readonly RequestKind[] {
  return [
    { route: 'query', requestsPerSecond: 7 * load, promptTokens: { mean: 670, spread: 1, maximum: 3_300 }, events: { mean: 49, spread: answerSpread, maximum: 159 } },
    { route: 'summary', requestsPerSecond: 7 * load, promptTokens: { mean: 7_700, spread: 1.4, maximum: 54_600 }, events: { mean: 64, spread: 0.44, maximum: 187 } }
  ]
}

interface Mix {
  readonly seed: number
  /** 1 is the usual load. */
  readonly load: number
  readonly answerSpread: number
}

const mixes: fc.Arbitrary<Mix> = fc.record({ seed: fc.nat(100_000), load: fc.double({ min: 1, max: 1.5, noNaN: true }), answerSpread: fc.double({ min: 0.3, max: 1, noNaN: true }) })

/** Plays forty gateways before eight engines, which take as many times as long as usual. */
async function play (mix: Mix, slowdown: number, timeoutMilliseconds: number) {
  const paces = { small: usualPaces.small * slowdown, medium: usualPaces.medium * slowdown, large: usualPaces.large * slowdown }
  const fleet = new GatewayFleet({ gateways: 40, engines: 8, slots: 12, queueLimit: 25, paces, seed: mix.seed, timeoutMilliseconds })
  const requests = await new StreamCallers(fleet, mix.seed).send(kindsAt(mix), trafficMilliseconds)
  return { requests, queries: servedBySize(requests.filter(({ route }) => route === 'query')), largeShare: largeShareOf(fleet) }
}

/** The share of answers that came from the largest model. */
function largeShareOf ({ lines }: GatewayFleet): number {
  const wholeAttempts = lines.flatMap(({ attempts }) => attempts ?? []).filter(attempt => attempt.endsWith('whole'))
  return wholeAttempts.filter(attempt => attempt.includes(' large ')).length / wholeAttempts.length
}

function expectNoSizeStarved ({ all, largest, second }: ReturnType<typeof servedBySize>): void {
  expect(largest).toBeGreaterThanOrEqual(minimumShare * all)
  expect(second).toBeGreaterThanOrEqual(minimumShare * all)
}

test('while streams are three to four times as slow as usual, the longest answers are not the ones that miss their deadlines', async () => {
  await fc.assert(fc.asyncProperty(mixes, fc.double({ min: 3, max: 4, noNaN: true }), async (mix, slowdown) => {
    expectNoSizeStarved((await play(mix, slowdown, usualTimeoutMilliseconds)).queries)
  }), { seed: 30, endOnFailure: true, numRuns: 6 })
}, 120_000)

test('under time limits that only answers of a smaller model keep, the longest answers are not the ones that miss them', async () => {
  await fc.assert(fc.asyncProperty(mixes, fc.integer({ min: 3_500, max: 5_000 }), async (mix, timeoutMilliseconds) => {
    expectNoSizeStarved((await play(mix, 1, timeoutMilliseconds)).queries)
  }), { seed: 30, endOnFailure: true, numRuns: 6 })
}, 120_000)

test('a fleet of which all answers come from the small model serves all sizes alike at these speeds and limits', async () => {
  const onlySmall = async (mix: Mix, slowdown: number, timeoutMilliseconds: number) => {
    const fleet = new GatewayFleet({ gateways: 40, engines: 8, slots: 12, queueLimit: 25, paces: { small: 0.3 * slowdown, medium: 0.3 * slowdown, large: 0.3 * slowdown }, seed: mix.seed, timeoutMilliseconds })
    return servedBySize(await new StreamCallers(fleet, mix.seed).send(kindsAt(mix), trafficMilliseconds))
  }
  const mix = { seed: 1, load: 1.5, answerSpread: 0.69 }
  expect(await onlySmall(mix, 4, usualTimeoutMilliseconds)).toEqual({ all: 1, largest: 1, second: 1 })
  expect(await onlySmall(mix, 1, 3_500)).toEqual({ all: 1, largest: 1, second: 1 })
}, 60_000)

test('at up to one and a half times the usual load no size is served less, and nothing is refused while there is room', async () => {
  await fc.assert(fc.asyncProperty(mixes, async mix => {
    const { requests, queries } = await play(mix, 1, usualTimeoutMilliseconds)
    expectNoSizeStarved(queries)
    expect(requests.filter(({ wasRefusedWithRoom }) => wasRefusedWithRoom)).toEqual([])
  }), { seed: 30, endOnFailure: true, numRuns: 4 })
}, 120_000)

test('at up to one and a half times the usual load the largest model answers about as often as the usual confidence asks for', async () => {
  await fc.assert(fc.asyncProperty(mixes, async mix => {
    expect((await play(mix, 1, usualTimeoutMilliseconds)).largeShare).toBeGreaterThan(minimumLargeShare)
  }), { seed: 30, endOnFailure: true, numRuns: 6 })
}, 120_000)
