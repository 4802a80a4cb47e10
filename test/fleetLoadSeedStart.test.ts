import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { LoadReports, WorkNews, loadKey } from '../src/fleetLoad/index.ts'
import { Log } from '../src/observe/index.ts'
import { FakeLinkNetwork } from './fakes/fakeLink.ts'
import { ManualClock } from './fakes/manualClock.ts'

test('a seed that has just started and knows nothing yet does not tell that all engines are idle', async () => {
  const clock = new ManualClock()
  const network = new FakeLinkNetwork(clock, new SeededRandomness(1))
  const place = { region: 'coast', dataCentre: 'coast-1' }
  const busy = new Map([[loadKey('e@1'), { runs: 12, workMilliseconds: 900 }]])
  const start = (address: string, work: typeof busy) => {
    const news = new WorkNews()
    const reports = new LoadReports({
      link: network.linkFor({ name: address, address, place, rack: '', incarnation: 1 }),
      seeds: () => ['seed'],
      regionOf: () => 'coast',
      ownWork: () => work,
      news,
      clock,
      randomness: new SeededRandomness(address.length),
      log: new Log('info', {}, () => undefined)
    })
    reports.start()
    return { news, reports }
  }
  const first = start('gateway-1', busy)
  const second = start('gateway-22', busy)
  await clock.advance(5_000)
  const seed = start('seed', new Map())
  const told: (number | undefined)[] = []
  for (let step = 0; step < 30; step++) {
    await clock.advance(100)
    told.push(first.news.workAt('e@1', clock.now())?.runs, second.news.workAt('e@1', clock.now())?.runs)
  }
  for (const { reports } of [first, second, seed]) reports.stop()
  expect(told.filter(runs => runs !== undefined && runs < 12)).toEqual([])
})
