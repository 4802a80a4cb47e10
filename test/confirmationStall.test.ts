import { expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { Log } from '../src/observe/index.ts'
import { ConfirmationHop, ConfirmationMonitor } from '../src/replica/index.ts'
import { pause, stallOneTurn } from './fakes/rawCaller.ts'

/** Beyond the interval in which the age is looked at. */
const stallMilliseconds = 400

test('a confirmation that arrived in a stall is read before its age is judged', async () => {
  const lines: string[] = []
  let ageMilliseconds = 0
  const follower = { get ageMilliseconds () { return ageMilliseconds }, stalestConfirmation: { confirmedAt: 0, hop: ConfirmationHop.Store, relay: undefined } } as never
  const monitor = new ConfirmationMonitor({ follower, configurationVersion: () => 7, staleAfterMilliseconds: () => 2_000, clock: new SystemClock(), log: new Log('info', {}, line => lines.push(line)) })
  monitor.start()
  await pause(100)
  ageMilliseconds = 5_000
  await stallOneTurn(stallMilliseconds)
  ageMilliseconds = 0
  await pause(50)
  monitor.stop()
  expect(lines).toEqual([])
})
