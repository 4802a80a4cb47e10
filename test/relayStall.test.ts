import { once } from 'node:events'
import { type AddressInfo, type Socket, connect, createServer } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { Err, Ok, SeededRandomness, SystemClock } from '../src/contract/index.ts'
import { type Link, LinkFailure } from '../src/link/index.ts'
import { Log } from '../src/observe/index.ts'
import { RelayFollower, ReplicaFollower, ReplicaRelay, divideNewsTime } from '../src/replica/index.ts'
import { block, pause } from './fakes/rawCaller.ts'

const tables = ['orders']
const clock = new SystemClock()
const closers: (() => unknown)[] = []

afterEach(() => { for (const close of closers.splice(0)) close() })

/** Bytes that arrive from another process while the event loop of this one is held up. */
async function openArrivals (): Promise<{ readonly received: Socket, readonly send: () => void }> {
  const listener = createServer().listen({ host: '127.0.0.1', port: 0 })
  await once(listener, 'listening')
  const accepted = once(listener, 'connection')
  const received = connect({ host: '127.0.0.1', port: (listener.address() as AddressInfo).port })
  const [sender] = await accepted as [Socket]
  closers.push(() => received.destroy(), () => sender.destroy(), () => listener.close())
  return { received, send: () => { sender.write('x') } }
}

async function stall (milliseconds: number, begin: () => void): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
  begin()
  block(milliseconds)
}

function startFollower (onSnapshot: () => void): ReplicaFollower {
  const feed = {
    snapshot: async () => {
      onSnapshot()
      return Ok({ rows: [], epoch: 0, version: 1, storeTime: 0 })
    },
    changes: async () => await new Promise<never>(() => undefined)
  }
  const follower = new ReplicaFollower({ feed, tables, budget: () => divideNewsTime(4_000), clock, randomness: new SeededRandomness(1), log: new Log('error'), onChange: () => undefined })
  closers.push(() => follower.stop())
  return follower
}

const identity = { name: 'a', address: 'a', place: { region: 'coast', dataCentre: 'zone' }, rack: '', incarnation: 1 }

test('a gateway that starts does not read the store because a stall of the event loop hid the reply of a relay', async () => {
  const { received, send } = await openArrivals()
  const reply = { tables: [{ table: 'orders', version: 5, epoch: 0, isWhole: true, rows: [] }], ageMilliseconds: 0, storeTime: 1, gatewayCount: 100 }
  let requests = 0
  const link = {
    self: identity,
    handle: () => undefined,
    connect: async () => undefined,
    request: async () => {
      if (requests++ > 0) return await new Promise<never>(() => undefined)
      await once(received, 'data')
      return Ok(reply)
    }
  } as unknown as Link
  let reads = 0
  const follower = startFollower(() => { reads++ })
  const relay = new ReplicaRelay({ link, follower, tables, gatewayCount: () => 100, clock })
  const relayFollower = new RelayFollower({
    link, follower, relay, tables, relayAddresses: () => ['b'], regionOf: () => 'coast', startUpReplyMilliseconds: 120, gatewayCount: () => 100, minimumFleetSize: 16, budget: () => divideNewsTime(4_000), clock, log: new Log('error')
  })
  closers.push(() => relayFollower.stop())
  relayFollower.start()
  follower.start()
  await stall(300, send)
  await pause(150)
  expect({ reads, version: follower.replica('orders').version }).toEqual({ reads: 0, version: 5 })
})

test('a relay whose wait ends in a stall of the event loop replies with the change that has arrived', async () => {
  const { received, send } = await openArrivals()
  let handle: (request: unknown) => Promise<unknown> = async () => Err(new LinkFailure('none', false))
  const link = { self: identity, handle: (_type: unknown, handler: typeof handle) => { handle = handler } } as unknown as Link
  const follower = startFollower(() => undefined)
  follower.installSnapshot('orders', { rows: [], epoch: 0, version: 1 })
  const relay = new ReplicaRelay({ link, follower, tables, gatewayCount: () => 1, clock })
  received.once('data', () => {
    follower.installSnapshot('orders', { rows: [{ key: 'row', version: 2, bytes: Buffer.from('x') }], epoch: 0, version: 2 })
    relay.notifyChange()
  })
  const reply = handle({ versions: { orders: 1 }, waitMilliseconds: 100 })
  await stall(300, send)
  expect(await reply).toMatchObject({ tables: [{ table: 'orders', version: 2 }] })
})
