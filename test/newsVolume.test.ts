import { expect, test } from 'vitest'
import type { SharedPrompt } from '../src/breaker/index.ts'
import { NewsFleet } from './fakes/newsFleet.ts'

const crashCount = 16
const crashIntervalMilliseconds = 250
/** Sound requests that lie at each crash and are answered elsewhere. */
const besideCount = 12
const restMilliseconds = 10_000
/** A tenth of the narrowest line of a VM, 14 Mbit/s, in bytes a second. */
const maximumBytesPerSecond = 175_000

const request = (index: number): SharedPrompt => ({ organisation: 'harbour', parts: [], request: `${index}`.padStart(16, '0') })

test.each([7, 30])('news of a storm of crashes takes no more than a tenth of the line of each of %i gateways', async size => {
  const fleet = new NewsFleet(size)
  await fleet.clock.advance(6_000)
  fleet.network.countsBytes = true
  for (let crash = 0; crash < crashCount; crash++) {
    const beside = new Map<number, SharedPrompt[]>()
    for (let index = 0; index < besideCount; index++) {
      const gateway = fleet.randomness.integerBelow(size)
      beside.set(gateway, [...beside.get(gateway) ?? [], request(crash * 100 + index)])
    }
    await fleet.crashUnder(crash % size, request(crash * 100 + 99), `engine-${crash}`, 50, beside)
    await fleet.clock.advance(crashIntervalMilliseconds - 100)
  }
  await fleet.clock.advance(restMilliseconds)
  const stormSeconds = crashCount * crashIntervalMilliseconds / 1_000
  const bytes = fleet.network.frameBytes.get('breaker_news') ?? 0
  expect(bytes / size / stormSeconds).toBeLessThan(maximumBytesPerSecond)
  await fleet.stop()
}, 60_000)

test('gateways with the same news exchange no more than its digest', async () => {
  const fleet = new NewsFleet(6)
  await fleet.clock.advance(6_000)
  await fleet.crashUnder(0, request(1), 'engine-1', 50, new Map([[1, Array.from({ length: 40 }, (_, index) => request(index + 2))]]))
  await fleet.clock.advance(5_000)
  fleet.network.countsBytes = true
  const requestsBefore = fleet.network.requestCounts.get('breaker_news')!
  await fleet.clock.advance(5_000)
  const requests = fleet.network.requestCounts.get('breaker_news')! - requestsBefore
  expect(requests).toBeGreaterThan(0)
  expect(fleet.network.frameBytes.get('breaker_news')! / requests).toBeLessThan(200)
  await fleet.stop()
})
