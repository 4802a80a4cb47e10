import { connect } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import * as z from 'zod'
import { SystemClock } from '../src/contract/index.ts'
import { type LinkFailure, type LinkIdentity, maximumFrameBytes, type MessageType, type Peer, TcpLink } from '../src/link/index.ts'
import { SilencingProxy } from './fakes/silencingProxy.ts'

const secret = 'a secret of all daemons'
const echo: MessageType<{ text: string }, { text: string }> = {
  name: 'test.echo',
  body: z.strictObject({ text: z.string() }),
  reply: z.strictObject({ text: z.string() })
}

const openLinks: TcpLink[] = []
const openProxies: SilencingProxy[] = []

afterEach(async () => {
  await Promise.all(openLinks.splice(0).map(link => link.close()))
  await Promise.all(openProxies.splice(0).map(proxy => proxy.close()))
})

function identityOf (name: string): LinkIdentity {
  return { name, address: '127.0.0.1:0', place: { region: 'lower-mainland', dataCentre: 'a' }, rack: 'r1', incarnation: 1 }
}

async function startLink (name: string, ownSecret = secret): Promise<{ link: TcpLink, peer: Peer }> {
  const link = new TcpLink({ identity: identityOf(name), secret: ownSecret, clock: new SystemClock() })
  openLinks.push(link)
  const address = (await link.listen('127.0.0.1:0')).unwrap()
  return { link, peer: { name, address } }
}

async function startEcho (name: string): Promise<{ link: TcpLink, peer: Peer }> {
  const started = await startLink(name)
  started.link.handle(echo, async body => body)
  return started
}

async function startProxy (target: string): Promise<SilencingProxy> {
  const proxy = await SilencingProxy.start('127.0.0.1', target)
  openProxies.push(proxy)
  return proxy
}

test('a request is answered by its handler, which learns the identity of the requester', async () => {
  const { link, peer } = await startLink('left')
  const requester = await startLink('right')
  const requesterNames: string[] = []
  link.handle(echo, async (body, from) => {
    requesterNames.push(from.name)
    return { text: body.text.toUpperCase() }
  })
  const reply = await requester.link.request(peer, echo, { text: 'hello' }, 2_000)
  expect(reply.unwrap()).toEqual({ text: 'HELLO' })
  expect(requesterNames).toEqual(['right'])
})

test('replies in another order are matched to their requests', async () => {
  const { link, peer } = await startLink('left')
  const requester = await startLink('right')
  const waiting: Array<() => void> = []
  link.handle(echo, async body => {
    await new Promise<void>(resolve => waiting.push(resolve))
    return body
  })
  const pendingReplies = ['one', 'two', 'three'].map(text => requester.link.request(peer, echo, { text }, 5_000))
  while (waiting.length < 3) await new Promise(resolve => setImmediate(resolve))
  for (const resolve of waiting.reverse()) resolve()
  const replies = await Promise.all(pendingReplies)
  expect(replies.map(reply => reply.unwrap().text)).toEqual(['one', 'two', 'three'])
})

test('an unknown message type and a malformed body are rejected as not handled', async () => {
  const { peer } = await startEcho('left')
  const requester = await startLink('right')
  const unknown = await requester.link.request(peer, { ...echo, name: 'test.other' }, { text: 'x' }, 2_000)
  const uncheckedEcho: MessageType<unknown, unknown> = { name: echo.name, body: z.unknown(), reply: z.unknown() }
  const malformed = await requester.link.request(peer, uncheckedEcho, { text: 7 }, 2_000)
  expect(unknown.val).toMatchObject({ reason: 'unknown message type test.other', mayHaveArrived: false })
  expect(malformed.val).toMatchObject({ reason: 'the body of test.echo is malformed', mayHaveArrived: false })
})

test('a daemon with another secret is rejected in both directions', async () => {
  const { peer } = await startEcho('left')
  const unauthorized = await startLink('stranger', 'another secret of others')
  unauthorized.link.handle(echo, async body => body)
  const member = await startLink('member')
  const fromUnauthorized = await unauthorized.link.request(peer, echo, { text: 'x' }, 2_000)
  const toUnauthorized = await member.link.request(unauthorized.peer, echo, { text: 'x' }, 2_000)
  expect(fromUnauthorized.val).toMatchObject({ mayHaveArrived: false })
  expect(toUnauthorized.val).toMatchObject({ reason: 'the peer does not know the shared secret', mayHaveArrived: false })
})

test('another daemon at the address of a peer is rejected', async () => {
  const { peer } = await startEcho('left')
  const requester = await startLink('right')
  const reply = await requester.link.request({ name: 'gone', address: peer.address }, echo, { text: 'x' }, 2_000)
  expect(reply.val).toMatchObject({ mayHaveArrived: false })
})

test('a silent connection is closed and the next request uses a new one', async () => {
  const { peer } = await startEcho('left')
  const proxy = await startProxy(peer.address)
  const requester = await startLink('right')
  const proxyPeer = { name: 'left', address: proxy.address }
  expect((await requester.link.request(proxyPeer, echo, { text: 'before' }, 2_000)).ok).toBe(true)
  proxy.silence()
  const silent = await requester.link.request(proxyPeer, echo, { text: 'into silence' }, 10_000)
  expect(silent.val).toMatchObject({ reason: 'the connection went silent', mayHaveArrived: true })
  expect((await requester.link.request(proxyPeer, echo, { text: 'after' }, 2_000)).unwrap()).toEqual({ text: 'after' })
})

test('a request after one that timed out in silence uses a new connection', async () => {
  const { peer } = await startEcho('left')
  const proxy = await startProxy(peer.address)
  const requester = await startLink('right')
  const proxyPeer = { name: 'left', address: proxy.address }
  expect((await requester.link.request(proxyPeer, echo, { text: 'before' }, 2_000)).ok).toBe(true)
  proxy.silence()
  expect((await requester.link.request(proxyPeer, echo, { text: 'into silence' }, 200)).ok).toBe(false)
  expect((await requester.link.request(proxyPeer, echo, { text: 'after' }, 200)).unwrap()).toEqual({ text: 'after' })
})

test('a request that times out beside one that is answered leaves their connection in use', async () => {
  const { link, peer } = await startLink('left')
  link.handle(echo, body => body.text === 'never' ? new Promise(() => undefined) : Promise.resolve(body))
  const proxy = await startProxy(peer.address)
  const requester = await startLink('right')
  const proxyPeer = { name: 'left', address: proxy.address }
  const unanswered = requester.link.request(proxyPeer, echo, { text: 'never' }, 300)
  expect((await requester.link.request(proxyPeer, echo, { text: 'beside' }, 200)).ok).toBe(true)
  expect((await unanswered).ok).toBe(false)
  expect((await requester.link.request(proxyPeer, echo, { text: 'after' }, 200)).ok).toBe(true)
  expect(proxy.connectionCount).toBe(1)
})

test('a slow handler does not make its connection count as silent', async () => {
  const { link, peer } = await startLink('left')
  const requester = await startLink('right')
  link.handle(echo, async body => {
    await new SystemClock().sleep(2_500)
    return body
  })
  expect((await requester.link.request(peer, echo, { text: 'late' }, 10_000)).ok).toBe(true)
})

test('a frame of another version, a long frame before authentication and a frame that is not CBOR close only their own connection', async () => {
  const { peer } = await startEcho('left')
  const requester = await startLink('right')
  expect((await requester.link.request(peer, echo, { text: 'x' }, 2_000)).ok).toBe(true)
  const longUnauthenticatedFrame = Buffer.from([0, 0, 0x20, 0, 1])
  for (const bytes of [Buffer.from([0, 0, 0, 1, 9, 0]), longUnauthenticatedFrame, Buffer.from([0, 0, 0, 2, 1, 0xff, 0xff])]) {
    const socket = connect({ host: '127.0.0.1', port: Number(peer.address.split(':')[1]) })
    const closed = new Promise(resolve => socket.on('close', resolve))
    socket.on('error', () => undefined).resume()
    socket.write(bytes)
    await closed
  }
  expect((await requester.link.request(peer, echo, { text: 'y' }, 2_000)).ok).toBe(true)
})

test('a body over the maximum frame size is rejected before it is sent', async () => {
  const { peer } = await startEcho('left')
  const requester = await startLink('right')
  const reply = await requester.link.request(peer, echo, { text: 'x'.repeat(maximumFrameBytes) }, 2_000)
  expect((reply.val as LinkFailure).mayHaveArrived).toBe(false)
})

test('a request without a reply in time fails and says that it may have arrived', async () => {
  const { link, peer } = await startLink('left')
  const requester = await startLink('right')
  link.handle(echo, body => body.text === 'x' ? new Promise(() => undefined) : Promise.resolve(body))
  // Connect first: a request that times out while connecting was never sent and may say so.
  ;(await requester.link.request(peer, echo, { text: 'first' }, 10_000)).unwrap()
  const reply = await requester.link.request(peer, echo, { text: 'x' }, 100)
  expect(reply.val).toMatchObject({ mayHaveArrived: true })
})

test('a closing link answers the requests that it has received', async () => {
  const { link, peer } = await startLink('left')
  const requester = await startLink('right')
  let finish: () => void = () => undefined
  const handlerStarted = new Promise<void>(resolve => {
    link.handle(echo, async body => {
      setImmediate(resolve)
      await new Promise<void>(resolve => { finish = resolve })
      return body
    })
  })
  const reply = requester.link.request(peer, echo, { text: 'x' }, 5_000)
  await handlerStarted
  const closed = link.close()
  finish()
  expect((await reply).ok).toBe(true)
  await closed
})
