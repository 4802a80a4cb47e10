import { expect, test } from 'vitest'
import { Ok, SeededRandomness } from '../src/contract/index.ts'
import { LoadReports, WorkNews, decodeWork, encodeWork, loadKey } from '../src/fleetLoad/index.ts'
import { Log } from '../src/observe/index.ts'
import { ClosedLink } from './fakes/closedLink.ts'
import { ManualClock } from './fakes/manualClock.ts'

test.each([[1, 1], [2, 2]])('a seed whose connection was closed in a stall is asked again: with %i failures %i seeds are asked', async (closedRequests, expected) => {
  const clock = new ManualClock()
  const link = new ClosedLink({ closedRequests, beforeReply: async count => { if (count === 1) await clock.stall(20_000) }, reply: { work: encodeWork(new Map()), ageMilliseconds: 0 } })
  const ownWork = () => new Map([['engine', { requests: 1, tokens: 10 }]]) as never
  const reports = new LoadReports({ link, seeds: () => ['seed-0', 'seed-1'], regionOf: () => 'coast', ownWork, news: new WorkNews(), clock, randomness: new SeededRandomness(1), log: new Log('error', {}, () => undefined) })
  reports.start()
  await clock.advance(100)
  // The stall has advanced the clock beside it, and the requests after it take turns of their own.
  await clock.advance(100)
  reports.stop()
  expect(new Set(link.asked).size).toBe(expected)
})

test.each([4_000, 60_000])('a seed that was held up for %i ms still tells the work that others reported before', async milliseconds => {
  const clock = new ManualClock()
  const told: number[] = []
  const handlers = new Map<string, (body: unknown, from: unknown) => Promise<unknown>>()
  const link = {
    self: { address: 'seed-0', place: { region: 'coast' } },
    handle: ({ name }: { name: string }, handler: never) => handlers.set(name, handler),
    request: async (_peer: unknown, _type: unknown, { work }: { work: Uint8Array }) => {
      told.push(decodeWork(work).get(loadKey('e1@1'))?.runs ?? 0)
      return Ok({})
    }
  }
  const reports = new LoadReports({ link: link as never, seeds: () => ['seed-0', 'seed-1'], regionOf: () => 'coast', ownWork: () => new Map(), news: new WorkNews(), clock, randomness: new SeededRandomness(1), log: new Log('error', {}, () => undefined) })
  reports.start()
  await handlers.get('load_report')!({ work: encodeWork(new Map([[loadKey('e1@1'), { runs: 3, workMilliseconds: 40 }]])) }, { address: 'gateway-1' })
  await clock.advance(1_000)
  told.length = 0
  await clock.stall(milliseconds)
  expect(told).toEqual([3])
  await clock.advance(3_000)
  told.length = 0
  await clock.advance(1_000)
  expect(told).toEqual([])
  reports.stop()
})
