import { afterEach, beforeEach, expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { type Peer, TcpLink } from '../src/link/index.ts'
import { delayedEcho, linkIdentityOf } from './fakes/delayedEcho.ts'
import { OpenedConnections, startLinkPeers } from './fakes/linkPeers.ts'
import { block, pause } from './fakes/rawCaller.ts'
import { SilencingProxy } from './fakes/silencingProxy.ts'

const secret = 'a secret of all daemons'
const peerCount = 20
/** The shortest timeout of a request in use. */
const timeoutMilliseconds = 200
/** Twenty handshakes of code that runs for the first time take some hundred milliseconds where processors are scarce. */
const openingTimeoutMilliseconds = 1_000
/** A peer ends a handshake in which it hears nothing for longer. */
const handshakeTimeoutMilliseconds = 2_000
const closers: (() => unknown)[] = []

let link: TcpLink
let peers: readonly Peer[]
let opened: OpenedConnections

beforeEach(async () => {
  const clock = new SystemClock()
  clock.startMonitor(() => undefined)
  const started = await startLinkPeers({ count: peerCount, secret })
  peers = started.peers
  link = new TcpLink({ identity: linkIdentityOf('stalling'), secret, clock })
  await link.listen('127.0.0.1:0')
  opened = new OpenedConnections()
  closers.push(started.close, () => link.close(), () => opened.close())
})
afterEach(async () => { for (const close of closers.splice(0).reverse()) await close() })

/** Holds the event loop up where timers come due before input is read again. */
async function stall (milliseconds: number): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
  block(milliseconds)
}

async function isAnswered (peer: Peer, delayMilliseconds: number, milliseconds = timeoutMilliseconds): Promise<boolean> {
  return (await link.request(peer, delayedEcho, { text: 'x', delayMilliseconds }, milliseconds)).ok
}

async function areAnswered (delayMilliseconds: number, milliseconds = timeoutMilliseconds): Promise<number> {
  const answers = await Promise.all(peers.map(peer => isAnswered(peer, delayMilliseconds, milliseconds)))
  return answers.filter(isOk => isOk).length
}

test('replies that arrive in a stall of the event loop count, and the stall renews no connection', async () => {
  expect(await areAnswered(0, 2_000)).toBe(peerCount)
  const answers = areAnswered(50)
  await stall(3 * timeoutMilliseconds)
  expect(await answers).toBe(peerCount)
  expect(await areAnswered(0)).toBe(peerCount)
  expect(opened.count).toBe(peerCount)
})

test('a peer does not count as silent for the time of a stall in which nothing was read', async () => {
  expect(await areAnswered(0, 2_000)).toBe(peerCount)
  const answers = areAnswered(2_500, 10_000)
  await stall(2_000)
  expect(await answers).toBe(peerCount)
  expect(opened.count).toBe(peerCount)
})

test.each([[0, 1_500], [20, 1_500], [20, 3_000]])('connections that are opened are not given up for a stall that begins %i ms after the start and lasts %i ms', async (milliseconds, stallMilliseconds) => {
  const answers = areAnswered(0, openingTimeoutMilliseconds)
  if (milliseconds > 0) await pause(milliseconds)
  await stall(stallMilliseconds)
  expect(await answers).toBe(peerCount)
  expect(opened.count).toBeLessThanOrEqual(stallMilliseconds < handshakeTimeoutMilliseconds ? peerCount : 2 * peerCount)
})

test('a connection that fell silent is found in spite of stalls, and replaced', async () => {
  const proxy = await SilencingProxy.start('127.0.0.1', peers[0]!.address)
  closers.push(() => proxy.close())
  const peer = { name: 'peer-0', address: proxy.address }
  expect(await isAnswered(peer, 0, 2_000)).toBe(true)
  proxy.silence()
  const silent = link.request(peer, delayedEcho, { text: 'x', delayMilliseconds: 0 }, 20_000)
  for (let round = 0; round < 4; round++) await pause(100).then(() => stall(600))
  expect((await silent).val).toMatchObject({ reason: 'the connection went silent' })
  expect(await isAnswered(peer, 0)).toBe(true)
  expect(proxy.connectionCount).toBe(2)
})
