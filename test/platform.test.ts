/** Tests the platform's clients against its stand-in, without and with each of its faults. */
import { afterEach, beforeEach, expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { TransactionOutcome, HttpObjectStore, HttpTableService, HttpVirtualMachineList, type Transaction } from '../src/store/index.ts'
import { startPlatform, type StandIn } from '../src/standin/index.ts'
import { httpReply, startScriptedServer } from './fakes/scriptedServer.ts'

const clock = new SystemClock()
let platform: StandIn
let table: HttpTableService
let objects: HttpObjectStore
let virtualMachines: HttpVirtualMachineList

beforeEach(async () => {
  platform = await startPlatform({ listen: '127.0.0.1:0', listLagMilliseconds: 0 })
  const options = { clock, address: platform.address, timeoutMilliseconds: 10_000 }
  table = new HttpTableService(options)
  objects = new HttpObjectStore(options)
  virtualMachines = new HttpVirtualMachineList(options)
})

afterEach(async () => {
  await Promise.all([table.close(), objects.close(), virtualMachines.close()])
  await platform.close()
})

const insertClaim: Transaction = {
  conditions: [{ table: 'claims', key: 'harbour/1', version: 0 }],
  writes: [{ table: 'claims', key: 'harbour/1', value: { state: 'open' } }]
}

async function injectFault (target: string, fault: string, milliseconds = 0): Promise<void> {
  await fetch(`http://${platform.address}/faults`, { method: 'POST', body: JSON.stringify({ target, fault, milliseconds }) })
}

test('a transaction is applied completely or not at all, and its rows can be read back', async () => {
  expect((await table.transact(insertClaim)).unwrap()).toBe(TransactionOutcome.Committed)
  expect((await table.transact(insertClaim)).unwrap()).toBe(TransactionOutcome.Conflict)
  expect((await table.read('claims', 'harbour/1')).unwrap()).toEqual({ key: 'harbour/1', version: 1, value: { state: 'open' } })
  expect((await table.read('claims', 'harbour/2')).unwrap()).toBeUndefined()
  const page = (await table.scan('claims', { prefix: 'harbour/', limit: 1 })).unwrap()
  expect(page.rows.map(row => row.key)).toEqual(['harbour/1'])
  const removeClaim = { conditions: [], writes: [{ table: 'claims', key: 'harbour/1', value: undefined }] }
  expect((await table.transact(removeClaim)).unwrap()).toBe(TransactionOutcome.Committed)
  expect((await table.read('claims', 'harbour/1')).unwrap()).toBeUndefined()
})

test('objects are stored unchanged and listed in order', async () => {
  const content = Uint8Array.from([0, 255, 10, 13])
  expect((await objects.put('bills/2 ü', content)).ok).toBe(true)
  expect((await objects.put('bills/1', new Uint8Array())).ok).toBe(true)
  expect((await objects.get('bills/2 ü')).unwrap()).toEqual(content)
  expect((await objects.get('bills/3')).unwrap()).toBeUndefined()
  expect((await objects.list('bills/')).unwrap()).toEqual(['bills/1', 'bills/2 ü'])
})

test('the list of VMs contains the registered VMs and their leaving marks', async () => {
  const entry = { address: '127.0.0.1:1', region: 'r', dataCentre: 'd' }
  await fetch(`http://${platform.address}/virtual-machines/entry-1`, { method: 'PUT', body: JSON.stringify(entry) })
  expect((await virtualMachines.read()).unwrap()).toEqual([{ ...entry, name: 'entry-1', leaving: false }])
  await fetch(`http://${platform.address}/virtual-machines/entry-1`, { method: 'PUT', body: JSON.stringify({ ...entry, leaving: true }) })
  expect((await virtualMachines.read()).unwrap()).toMatchObject([{ leaving: true }])
})

test('a write whose reply is lost is reported as possibly applied, and was applied', async () => {
  await injectFault('tables', 'lose_replies')
  expect((await table.transact(insertClaim)).val).toMatchObject({ mayHaveApplied: true })
  await injectFault('tables', 'none')
  expect((await table.read('claims', 'harbour/1')).unwrap()).toMatchObject({ version: 1 })
})

test('a write that times out is reported as possibly applied; a read is not', async () => {
  const impatientTable = new HttpTableService({ clock, address: platform.address, timeoutMilliseconds: 200 })
  await injectFault('tables', 'hang')
  expect((await impatientTable.transact(insertClaim)).val).toMatchObject({ mayHaveApplied: true })
  expect((await impatientTable.read('claims', 'harbour/1')).val).toMatchObject({ mayHaveApplied: false })
  await impatientTable.close()
})

test('an unavailable service is reported as not having applied anything', async () => {
  await injectFault('all', 'down')
  expect((await table.transact(insertClaim)).val).toMatchObject({ mayHaveApplied: false })
  expect((await objects.put('a', new Uint8Array())).val).toMatchObject({ mayHaveApplied: false })
})

test('a slow reply within the timeout is accepted', async () => {
  await injectFault('tables', 'slow', 50)
  expect((await table.transact(insertClaim)).unwrap()).toBe(TransactionOutcome.Committed)
})

test('a refused connection is reported as not applied, and the client reconnects when the service is back', async () => {
  const { address } = platform
  expect((await table.transact(insertClaim)).ok).toBe(true)
  await platform.close()
  const refused = await table.transact(insertClaim)
  expect(refused.val).toMatchObject({ mayHaveApplied: false })
  platform = await startPlatform({ listen: address })
  expect((await table.transact(insertClaim)).unwrap()).toBe(TransactionOutcome.Committed)
})

test('a write whose connection breaks is reported as possibly applied and is not retried', async () => {
  const closingServer = await startScriptedServer(socket => socket.destroy())
  const client = new HttpTableService({ clock, address: closingServer.address, timeoutMilliseconds: 10_000 })
  expect((await client.transact(insertClaim)).val).toMatchObject({ mayHaveApplied: true })
  expect(closingServer.received.filter(text => text !== '')).toHaveLength(1)
  await client.close()
  await closingServer.close()
})

test('an unexpected reply to a write is reported as possibly applied', async () => {
  for (const reply of [httpReply('{"commit":"perhaps"}'), httpReply('no JSON'), httpReply('{}', '503 Service Unavailable')]) {
    const malformedServer = await startScriptedServer(socket => socket.write(reply))
    const client = new HttpTableService({ clock, address: malformedServer.address, timeoutMilliseconds: 10_000 })
    expect((await client.transact(insertClaim)).val).toMatchObject({ mayHaveApplied: true })
    await client.close()
    await malformedServer.close()
  }
})

test('a truncated object is not accepted as complete', async () => {
  for (const head of ['HTTP/1.1 200 OK\r\n\r\n', 'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n']) {
    const truncatingServer = await startScriptedServer(socket => socket.end(`${head}half of it`))
    const client = new HttpObjectStore({ clock, address: truncatingServer.address, timeoutMilliseconds: 10_000 })
    expect((await client.get('bills/1')).err).toBe(true)
    await client.close()
    await truncatingServer.close()
  }
})

test('a duplicate reply is never taken for the reply to the next request', async () => {
  const server = await startScriptedServer((socket, _connection, received) => {
    const request = received.split('POST ').at(-1) ?? ''
    const id = /x-request-id: (\S+)/.exec(request)?.[1] ?? ''
    const key = /"key":"(\d+)"/.exec(request)?.[1] ?? ''
    const reply = httpReply(JSON.stringify({ row: { key, version: 1, value: 0 } }), `200 OK\r\nx-request-id: ${id}`)
    socket.write(reply)
    setTimeout(() => socket.write(reply), 10)
  })
  const client = new HttpTableService({ clock, address: server.address, timeoutMilliseconds: 10_000 })
  for (let number = 0; number < 8; number++) {
    const read = await client.read('t', String(number))
    if (read.ok) expect(read.val?.key).toBe(String(number))
    await new Promise(resolve => setTimeout(resolve, number))
  }
  await client.close()
  await server.close()
})

test('when one connection is silent, the others opened by then are not reused either', async () => {
  let isSilent = false
  const server = await startScriptedServer((socket, connection) => {
    if (!isSilent || connection > 1) setTimeout(() => socket.write(httpReply('{"row":null}')), 20)
  })
  const client = new HttpTableService({ clock, address: server.address, timeoutMilliseconds: 300 })
  await Promise.all([client.read('t', 'a'), client.read('t', 'b')])
  isSilent = true
  await new Promise(resolve => setTimeout(resolve, 20))
  expect((await client.read('t', 'a')).err).toBe(true)
  expect((await client.read('t', 'a')).ok).toBe(true)
  await client.close()
  await server.close()
})

test('no more connections are opened than the maximum', async () => {
  const server = await startScriptedServer(socket => socket.write(httpReply('{"row":null}')))
  const client = new HttpTableService({ clock, address: server.address, timeoutMilliseconds: 10_000, maximumConnections: 2 })
  const reads = await Promise.all(Array.from({ length: 20 }, (_, number) => client.read('t', String(number))))
  expect(reads.every(read => read.ok)).toBe(true)
  expect(server.received).toHaveLength(2)
  await client.close()
  await server.close()
})
