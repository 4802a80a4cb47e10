import { connect } from 'node:net'
import { beforeEach, expect, test } from 'vitest'
import { EntryHarness, harbourKey } from './fakes/entryWorld.ts'
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
