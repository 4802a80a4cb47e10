import { expect, test } from 'vitest'
import { PromptBreaker } from '../src/breaker/index.ts'
import { SeededRandomness, SystemClock } from '../src/contract/index.ts'
import { NewsExchange } from '../src/news/index.ts'
import { Log } from '../src/observe/index.ts'
import { AnnouncedLimits } from '../src/rateLimit/index.ts'
import { ClosedLink } from './fakes/closedLink.ts'
import { stallOneTurn } from './fakes/rawCaller.ts'

/** Beyond the time that callers wait for the first news. */
const stallMilliseconds = 400

test('callers are not let in before the first news that arrived in a stall was read', async () => {
  const clock = new SystemClock()
  let isRead = false
  const link = new ClosedLink({ closedRequests: 0, beforeReply: async () => await stallOneTurn(stallMilliseconds).then(() => { isRead = true }), reply: { reports: [], blocks: [], answers: [] } })
  const news = new NewsExchange({
    link,
    breaker: new PromptBreaker({ name: 'stalling' }),
    limits: new AnnouncedLimits(),
    peers: () => [{ name: 'peer', address: 'peer:7000' }],
    onBreakerNews: () => undefined,
    clock,
    randomness: new SeededRandomness(1),
    log: new Log('error', {}, () => undefined)
  })
  news.start()
  await news.untilAsked()
  news.stop()
  expect(isRead).toBe(true)
})
