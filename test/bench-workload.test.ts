import { readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { attemptCost, drawRequest, goodShare, readWorld, trueScore } from '../bench/world.ts'
import { cheapestFixedVersion, fullLoad } from '../bench/worldLoad.ts'
import { SeededRandomness } from '../src/contract/index.ts'

const text = readFileSync('bench/workloads.toml', 'utf8')
const world = readWorld(text)

test('a workload file is read with its formulas, whatever its numbers and names', () => {
  const other = readWorld(text.replaceAll('small', 'tiny').replace('70 + 60 *', '65 + 40 *').replace('uniform 0..1', 'uniform 0.1..0.9'))
  expect(other.versions[0]!.name).toBe('tiny')
  expect(other.trueScore).toEqual({ base: 65, slope: 40, low: 0, high: 100 })
  expect(other.difficulty).toEqual({ low: 0.1, high: 0.9 })
})

test('a workload file that lacks a required figure is rejected', () => {
  expect(() => readWorld(text.replace('rating_cost = 60', ''))).toThrow(/rating_cost/)
})

test('scores, costs and shares follow the formulas of the workload file', () => {
  const [small] = world.versions
  expect(trueScore(world, small!, 'summary', 0.55)).toBe(70)
  expect(trueScore(world, small!, 'summary', 0)).toBe(100)
  expect(attemptCost(small!, 400, 200, 60)).toBe(50 + 5 + 60)
  expect(goodShare(world, small!, 'summary')).toBeCloseTo(0.55)
  expect(cheapestFixedVersion(world, 'summary').name).toBe('large')
})

test('full load is the request rate at which decoding fully occupies the accelerators', () => {
  const { requestsPerSecond, acceleratorShares } = fullLoad(world, world.users.get('fraser_coast')!)
  // Tokens per millisecond of a fully occupied accelerator, averaged over new and old hardware, for the small and the large version.
  const small = (32 / 10.8 + 0.45 * 16 / 8.4) / 2
  const large = (32 / 34.4 + 0.45 * 16 / 27.2) / 2
  const milliseconds = (0.25 * 20 + 0.6 * 60) / small + 0.15 * 500 / large
  expect(requestsPerSecond).toBeCloseTo(48_000 / milliseconds, 6)
  expect([...acceleratorShares.values()].reduce((sum, share) => sum + share, 0)).toBeCloseTo(1)
})

test('requests follow the configured mix, and a seed reproduces them', () => {
  const user = world.users.get('archive')!
  const drawRequests = (seed: number) => {
    const randomness = new SeededRandomness(seed)
    return Array.from({ length: 4_000 }, () => drawRequest(world, user, randomness))
  }
  const requests = drawRequests(1)
  expect(drawRequests(1)).toEqual(requests)
  const taggingShare = requests.filter(request => request.kind.name === 'tagging').length / requests.length
  expect(taggingShare).toBeGreaterThan(0.46)
  expect(taggingShare).toBeLessThan(0.54)
})
