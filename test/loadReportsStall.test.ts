import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { LoadReports, WorkNews, encodeWork } from '../src/fleetLoad/index.ts'
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
