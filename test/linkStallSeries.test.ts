import { expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { type Peer, TcpLink } from '../src/link/index.ts'
import { delayedEcho, linkIdentityOf } from './fakes/delayedEcho.ts'
import { OpenedConnections, startLinkPeers } from './fakes/linkPeers.ts'
import { block, pause } from './fakes/rawCaller.ts'

const seriesMilliseconds = 10_000
const requestIntervalMilliseconds = 300
/** Timeouts in use, in turn. */
const timeouts = [200, 300, 600, 1_000]
const slowDelayMilliseconds = 120
const connectTimeoutMilliseconds = 5_000
const recoveryMilliseconds = 1_000
/** A stall begins in all parts of the event loop's rounds, also where timers come due before input is read. */
const allSeries = [1, 20, 200].flatMap(count => [300, 1_000].flatMap(milliseconds => [0.1, 0.5, 0.9].map(share => [count, milliseconds, share] as const)))
const series = process.env['LAVENDERDOOR_ALL_STALLS'] === undefined ? [[20, 300, 0.9], [20, 1_000, 0.5]] as const : allSeries

async function stall (milliseconds: number): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
  block(milliseconds)
}

async function holdUp (stallMilliseconds: number, share: number, endsAt: number): Promise<void> {
  while (performance.now() < endsAt) {
    await pause(Math.min(stallMilliseconds / share - stallMilliseconds, endsAt - performance.now()))
    await stall(stallMilliseconds)
  }
}

test.each(series)('to %i peers, a fifth of them slow, stalls of %i ms for %f of the time open each connection once', async (count, stallMilliseconds, share) => {
  const secret = 'a secret of all daemons'
  const { peers, repliedAt, close } = await startLinkPeers({ count, secret })
  const clock = new SystemClock()
  clock.startMonitor(() => undefined)
  const link = new TcpLink({ identity: linkIdentityOf('stalling'), secret, clock })
  await link.listen('127.0.0.1:0')
  const opened = new OpenedConnections()
  await Promise.all(peers.map(peer => link.connect(peer, connectTimeoutMilliseconds)))
  let sent = 0
  const lost: { readonly text: string, readonly timeoutAt: number }[] = []
  const isAnswered = async (peer: Peer, index: number, timeoutMilliseconds: number) => {
    const text = String(sent++)
    const timeoutAt = clock.now() + timeoutMilliseconds
    const delayMilliseconds = index % 5 === 4 ? slowDelayMilliseconds : 0
    const { ok } = await link.request(peer, delayedEcho, { text, delayMilliseconds }, timeoutMilliseconds)
    if (!ok) lost.push({ text, timeoutAt })
    return ok
  }
  const endsAt = performance.now() + seriesMilliseconds
  const asking = peers.map(async (peer, index) => {
    for (let turn = index; performance.now() < endsAt; turn++) {
      await isAnswered(peer, index, timeouts[turn % timeouts.length]!)
      await pause(requestIntervalMilliseconds)
    }
  })
  await holdUp(stallMilliseconds, share, endsAt)
  const answers = await Promise.all(peers.map((peer, index) => isAnswered(peer, index, recoveryMilliseconds)))
  await Promise.all(asking)
  const openedCount = opened.count
  opened.close()
  await link.close()
  await close()
  // A peer whose own thread had no processor may reply too late; that is not a fault of the one that was held up.
  const late = lost.filter(({ text, timeoutAt }) => (repliedAt.get(text) ?? 0) > timeoutAt)
  if (process.env['LAVENDERDOOR_SHOW_TIMES'] !== undefined) console.log(JSON.stringify({ count, stallMilliseconds, share, sent, lost: lost.length, late: late.length, openedCount }))
  expect(lost.length - late.length).toBe(0)
  expect(openedCount).toBeLessThanOrEqual(count + late.length)
  expect(answers.filter(isOk => isOk)).toHaveLength(count)
}, 2 * seriesMilliseconds)
