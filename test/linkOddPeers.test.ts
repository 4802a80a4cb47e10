import { connect, createServer, type Server, type Socket } from 'node:net'
import fc from 'fast-check'
import { afterEach, beforeEach, expect, test } from 'vitest'
import * as z from 'zod'
import { SystemClock } from '../src/contract/index.ts'
import { type LinkIdentity, type MessageType, TcpLink } from '../src/link/index.ts'
import { FrameKind, encodeFrame, protocolVersion } from '../src/link/frames.ts'
import { pause } from './fakes/rawCaller.ts'

const ask: MessageType<{ text: string }, { text: string }> = { name: 'test.ask', body: z.strictObject({ text: z.string() }), reply: z.strictObject({ text: z.string() }) }
const notAscii = 'é'.repeat(64)
const nonce = 'a'.repeat(32)
const patienceMilliseconds = 300

const rejections: unknown[] = []
const recordRejection = (reason: unknown) => { rejections.push(reason) }
let links: TcpLink[]
let servers: Server[]
let sockets: Socket[]

beforeEach(() => {
  links = []
  servers = []
  sockets = []
  rejections.length = 0
  process.on('unhandledRejection', recordRejection)
})
afterEach(async () => {
  for (const socket of sockets) socket.destroy()
  await Promise.all(links.map(link => link.close()))
  for (const server of servers) server.close()
  process.off('unhandledRejection', recordRejection)
})

function identityOf (name: string): LinkIdentity {
  return { name, address: '127.0.0.1:0', place: { region: 'coast', dataCentre: 'a' }, rack: 'r1', incarnation: 1 }
}

async function startLink (name: string): Promise<{ link: TcpLink, address: string }> {
  const link = new TcpLink({ identity: identityOf(name), secret: 'a secret', clock: new SystemClock() })
  links.push(link)
  return { link, address: (await link.listen('127.0.0.1:0')).unwrap() }
}

/** Sends bytes to a link as a peer without the secret does. */
async function sendRaw (address: string, ...parts: readonly Buffer[]): Promise<void> {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port) })
  sockets.push(socket)
  socket.on('error', () => undefined).resume()
  for (const part of parts) {
    socket.write(part)
    await pause(20)
  }
}

/** Whether a link still answers another one. */
async function answers (link: TcpLink, address: string): Promise<boolean> {
  link.handle(ask, async body => body)
  const { link: other } = await startLink('other')
  return (await other.request({ name: link.self.name, address }, ask, { text: 'a' }, 2_000)).ok
}

const hello = encodeFrame({ kind: FrameKind.Hello, identity: identityOf('odd'), nonce }).unwrap()

test('a peer without the secret whose proof has characters that are not ASCII ends no process', async () => {
  const { link, address } = await startLink('listener')
  await sendRaw(address, hello, encodeFrame({ kind: FrameKind.Proof, proof: notAscii }).unwrap())
  await pause(patienceMilliseconds)
  expect(rejections).toEqual([])
  expect(await answers(link, address)).toBe(true)
})

test('a listener whose proof has characters that are not ASCII is refused by the dialler', async () => {
  const welcome = encodeFrame({ kind: FrameKind.Welcome, identity: identityOf('odd'), nonce, proof: notAscii }).unwrap()
  const server = createServer(socket => { socket.on('error', () => undefined).once('data', () => socket.write(welcome)) })
  servers.push(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  const { link } = await startLink('dialler')
  const reply = await link.request({ name: 'odd', address: `127.0.0.1:${port}` }, ask, { text: 'a' }, 2_000)
  expect(reply.err).toBe(true)
  expect(rejections).toEqual([])
})

test.each(['10.0.0.7:99999', '10.0.0.7', '', ':::'])('a peer that is said to be at "%s" can not be reached, and that is all', async address => {
  const { link } = await startLink('dialler')
  for (let attempt = 0; attempt < 2; attempt++) expect((await link.request({ name: 'odd', address }, ask, { text: 'a' }, 500)).err).toBe(true)
  await pause(20)
  expect(rejections).toEqual([])
})

test('a handler that fails on a message refuses it, and the process goes on', async () => {
  const { link, address } = await startLink('listener')
  const { link: other } = await startLink('other')
  link.handle(ask, async () => { throw new Error('a message of this kind was not expected') })
  const reply = await other.request({ name: 'listener', address }, ask, { text: 'a' }, 2_000)
  expect(reply.err).toBe(true)
  expect(rejections).toEqual([])
  expect(await answers(link, address)).toBe(true)
})

/** A frame with any value. */
function frameOf (value: Uint8Array): Buffer {
  const head = Buffer.alloc(5)
  head.writeUInt32BE(value.length, 0)
  head.writeUInt8(protocolVersion, 4)
  return Buffer.concat([head, value])
}

test('whatever bytes come as a frame, a link keeps its memory and goes on', async () => {
  const { link, address } = await startLink('listener')
  const values = [
    // An array, a map, a text and a byte string that claim to be as long as can be.
    ...[0x9a, 0xba, 0x7a, 0x5a].map(type => Uint8Array.from([type, 0xff, 0xff, 0xff, 0xff])),
    Uint8Array.from([0x9a, 0x01, 0xff, 0xff, 0xff]),
    Uint8Array.from([0x9b, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff]),
    // Nested as deeply as a frame before the handshake may be.
    new Uint8Array(4_000).fill(0x81),
    new Uint8Array(4_000).fill(0xc1),
    ...fc.sample(fc.uint8Array({ maxLength: 200 }), { numRuns: 100, seed: 39 })
  ]
  const before = process.memoryUsage().rss
  for (const value of values) await sendRaw(address, frameOf(value))
  await pause(patienceMilliseconds)
  expect(rejections).toEqual([])
  expect(process.memoryUsage().rss - before).toBeLessThan(64 * 1024 * 1024)
  expect(await answers(link, address)).toBe(true)
})
