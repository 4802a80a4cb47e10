import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { get, type IncomingMessage, type ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { readCallerAddress } from '../platform/index.ts'
import { CallerListener } from '../src/server/index.ts'
import { ForwarderHarness, waitUntil } from './fakes/forwarderWorld.ts'

function fetchText (address: string): Promise<string> {
  return new Promise((resolve, reject) => {
    get(`http://${address}/`, { agent: false }, (response: IncomingMessage) => {
      let text = ''
      response.on('data', chunk => { text += chunk })
      response.on('end', () => resolve(text))
    }).on('error', reject)
  })
}

test('a caller that connects before the program is loaded waits and is then served, and so is the next', async () => {
  const listener = new CallerListener()
  const address = await listener.listen('127.0.0.1:0')
  const early = fetchText(address)
  await new Promise(resolve => setTimeout(resolve, 100))
  expect(listener.connections).toHaveLength(1)
  listener.serveWith((_request, response) => { response.end('served') })
  expect(await listener.listen(address)).toBe(address)
  expect(await early).toBe('served')
  expect(await fetchText(address)).toBe('served')
  listener.server.closeAllConnections()
  listener.server.close()
})

test('a request that arrives before the tables were read waits for them', async () => {
  const harness = await ForwarderHarness.start()
  await harness.startEndpoint('ledger')
  const host = await harness.startForwarder()
  const waiting = harness.call(host, '/release/1')
  await new Promise(resolve => setTimeout(resolve, 150))
  harness.putConfiguration(1)
  expect((await waiting).status).toBe(200)
  await harness.close()
}, 30_000)

test('a request that arrives while the store fails is refused soon after the start, and later ones at once', async () => {
  const harness = await ForwarderHarness.start()
  harness.store.injectFault('busy')
  const startedAt = performance.now()
  const host = await harness.startForwarder()
  expect((await harness.call(host, '/release/1')).status).toBe(503)
  expect(performance.now() - startedAt).toBeLessThan(1_000)
  const sentAt = performance.now()
  expect((await harness.call(host, '/release/2')).status).toBe(503)
  expect(performance.now() - sentAt).toBeLessThan(200)
  await harness.close()
}, 30_000)

test('the address for callers is read from a boot file, and a file without one or no file gives none', () => {
  const directory = mkdtempSync(join(tmpdir(), 'lavenderdoor-boot-'))
  const path = join(directory, 'boot.json')
  const addressIn = (text: string) => {
    writeFileSync(path, text)
    return readCallerAddress(path)
  }
  expect(addressIn('{"listen": {"frontend": "127.0.0.1:8227"}}')).toBe('127.0.0.1:8227')
  for (const text of ['{"listen": {"frontend": 7}}', '{"listen": null}', '[]', 'null', '{', '']) expect(addressIn(text)).toBeUndefined()
  expect(readCallerAddress(join(directory, 'absent.json'))).toBeUndefined()
  expect(readCallerAddress(undefined)).toBeUndefined()
  rmSync(directory, { recursive: true })
})

test('the time that a request waits before the program is loaded counts as time since its arrival', async () => {
  const listener = new CallerListener()
  const early = fetchText(await listener.listen('127.0.0.1:0'))
  await new Promise(resolve => setTimeout(resolve, 200))
  listener.serveWith((request, response) => { response.end(String(listener.connectionOf(request.socket)?.turnOf(response).millisecondsSinceArrival)) })
  expect(Number(await early)).toBeGreaterThan(100)
  listener.server.closeAllConnections()
  listener.server.close()
})

test('of many requests that a caller sends ahead few are started, and each other one once an answer has left', async () => {
  const listener = new CallerListener()
  const responses: ServerResponse[] = []
  listener.serveWith((_request, response) => { responses.push(response) })
  const caller = connect(Number((await listener.listen('127.0.0.1:0')).split(':')[1]), '127.0.0.1')
  caller.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(40))
  await waitUntil(() => listener.openResponseCount === 40)
  expect(responses).toHaveLength(16)
  responses[0]?.end()
  await waitUntil(() => responses.length > 16)
  expect([responses.length, listener.openResponseCount]).toEqual([17, 39])
  caller.destroy()
  listener.server.close()
})
