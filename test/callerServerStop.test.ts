import { connect } from 'node:net'
import { beforeEach, expect, test } from 'vitest'
import { EntryHarness, harbourKey } from './fakes/entryWorld.ts'
import { waitUntil } from './fakes/forwarderWorld.ts'
import { block, pause } from './fakes/rawCaller.ts'

let harness: EntryHarness
beforeEach(async () => { harness = await EntryHarness.start() })

const models = `GET /v1/models HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${harbourKey}\r\n\r\n`

test('a daemon answers a request that has arrived on a kept connection when its stop begins', async () => {
  const [host, port] = harness.address.split(':')
  let received = ''
  const socket = connect({ host, port: Number(port) })
  socket.on('data', bytes => { received += bytes.toString('latin1') })
  socket.on('error', () => undefined)
  socket.write(models)
  await pause(200)
  await new Promise(resolve => setImmediate(resolve))
  harness.drain.begin()
  socket.write(models)
  block(20)
  const closed = harness.close()
  await pause(300)
  await closed
  expect(received.match(/HTTP\/1.1 /g)).toHaveLength(2)
})

test('a daemon that stops does not reset a caller that is still sending behind an answer that announced the end of its connection', async () => {
  const [host, port] = harness.address.split(':')
  const socket = connect({ host, port: Number(port), allowHalfOpen: true })
  const outcomes: string[] = []
  let received = ''
  socket.on('data', bytes => { received += bytes.toString('latin1') })
  socket.on('end', () => outcomes.push('ended'))
  socket.on('error', () => outcomes.push('reset'))
  socket.write(models.replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'))
  await waitUntil(() => received.includes('HTTP/1.1 200'))
  harness.drain.begin()
  const closed = harness.close()
  for (let write = 0; write < 20; write++) {
    await pause(10)
    if (!socket.destroyed) socket.write(models)
  }
  socket.end()
  await closed
  expect(outcomes).toEqual(['ended'])
})
