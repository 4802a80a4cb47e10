import { type ChildProcess, spawn, spawnSync } from 'node:child_process'
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, afterEach, beforeAll, beforeEach, expect, test } from 'vitest'
import { bootFilePathVariable } from '../platform/index.ts'
import { EndpointStandIn, StoreStandIn, bootDocument, configurationDocument, endpointDocument } from '../platform/standin/index.ts'
import { ConnectionState, RawCaller, pause, requestHead } from './fakes/rawCaller.ts'
import { formatEvent, waitUntil } from './fakes/forwarderWorld.ts'
import { sendUnread, unansweredRequests } from './fakes/slowCaller.ts'

const directory = mkdtempSync(join(tmpdir(), 'lavenderdoor-signals-'))
const bootFilePath = join(directory, 'boot.json')
/** How long a starved processor takes to load the program. */
const loadMilliseconds = 1_500
const answerMilliseconds = 800
const listenerCloseMilliseconds = 2_400
const largeAnswers = { count: 32, bytes: 250_000 }

let store: StoreStandIn
let ledger: EndpointStandIn
let program: ChildProcess
let caller: RawCaller | undefined
let exitCode: Promise<number | null>
let hostNumber = 1

beforeAll(() => {
  expect(spawnSync(process.execPath, ['scripts/buildForwarder.mjs']).status).toBe(0)
  copyFileSync(join('target', 'launch.cjs'), join(directory, 'launch.cjs'))
}, 60_000)
afterAll(() => rmSync(directory, { recursive: true }))

beforeEach(async () => {
  store = await StoreStandIn.start('127.0.0.1')
  ledger = await EndpointStandIn.start('127.0.0.1', 'i-1')
  ledger.handleWith((_request, response) => { setTimeout(() => response.end('done'), answerMilliseconds) })
  store.put('servers', ledger.identity, endpointDocument('ledger', ledger.address))
  store.put('op', 'config', configurationDocument(1))
})
afterEach(async () => {
  caller?.close()
  if (program.exitCode === null) program.kill('SIGKILL')
  await exitCode
  await ledger.close()
  await store.close()
})

/** Starts the program, whose loading takes a time, and returns the first caller that it accepts. */
async function launch (milliseconds: number): Promise<RawCaller> {
  const host = `127.${200 + process.pid % 50}.${1 + Math.floor(process.pid / 50) % 250}.${hostNumber++}`
  const source = readFileSync(join('target', 'forwarder.cjs'), 'utf8')
  writeFileSync(join(directory, 'forwarder.cjs'), `for (const until = Date.now() + ${milliseconds}; Date.now() < until;);\n${source}`)
  writeFileSync(bootFilePath, JSON.stringify(bootDocument(`edge-${host}`, host, store.address, [], 6)))
  program = spawn(process.execPath, [join(directory, 'launch.cjs')], { env: { [bootFilePathVariable]: bootFilePath, LAVENDERDOOR_LINK_SECRET: 'secret of a test' }, stdio: ['ignore', 'ignore', 'inherit'] })
  exitCode = new Promise(resolve => program.once('exit', code => resolve(code)))
  await waitUntil(async () => {
    caller = await RawCaller.connect(host).catch(() => undefined)
    return caller !== undefined
  })
  return caller!
}

/** Starts the program and sends a request that it passes on. */
async function launchWithRunningRequest (): Promise<RawCaller> {
  const running = await launch(0)
  running.write(requestHead('/release/1', { id: 'running' }))
  await waitUntil(() => ledger.received.length === 1)
  return running
}

test('a request that waits while the program is loaded is answered although the process is asked to stop', async () => {
  const waiting = await launch(loadMilliseconds)
  waiting.write(requestHead('/release/1', { id: 'early' }))
  await pause(200)
  program.kill('SIGTERM')
  await waiting.until(1)
  expect(waiting.responses).toHaveLength(1)
  expect(await exitCode).toBe(0)
})

test('a signal to read the boot file again while the program is loaded ends neither the process nor a waiting request', async () => {
  const waiting = await launch(loadMilliseconds)
  waiting.write(requestHead('/release/1', { id: 'early' }))
  await pause(200)
  program.kill('SIGHUP')
  await waiting.until(1)
  expect(waiting.statuses).toEqual([200])
  expect(program.exitCode).toBeNull()
})

test.each(['SIGTERM', 'SIGHUP'] as const)('a %s during a planned stop does not end a running request', async signal => {
  const running = await launchWithRunningRequest()
  program.kill('SIGTERM')
  await pause(200)
  program.kill(signal)
  await running.until(1)
  expect(running.statuses).toEqual([200])
  expect(await exitCode).toBe(0)
})

test('the process ends only after a slow caller has got its answers', async () => {
  ledger.handleWith((_request, response) => { response.end('x'.repeat(largeAnswers.bytes)) })
  const slow = await launch(0)
  await sendUnread(slow, ledger, largeAnswers)
  expect(ledger.received.length).toBeLessThan(largeAnswers.count)
  program.kill('SIGTERM')
  await pause(listenerCloseMilliseconds + 300)
  slow.resume()
  await slow.until(largeAnswers.count)
  expect(unansweredRequests(slow, ledger, largeAnswers)).toEqual([])
  expect(await exitCode).toBe(0)
})

test('a stream without a frame does not look whole to its caller when its gateway is killed', async () => {
  const engine = await EndpointStandIn.start('127.0.0.1', 'i-engine')
  store.put('servers', engine.identity, endpointDocument('engines', engine.address))
  engine.handleWith(({ headers }, { socket }) => {
    socket?.write(`HTTP/1.1 200 OK\r\nattempt-id: ${headers['attempt-id']}\r\nserver-seal: s\r\nconfidence: 90\r\nconnection: close\r\n\r\n${formatEvent(1)}`)
  })
  const streaming = await launch(0)
  streaming.write(requestHead('/query/1', { id: 'stream', headers: 'token-usage: 10,10\r\nprefix-hash: a1:10\r\nconnection: close\r\n' }))
  await waitUntil(() => streaming.text.includes(formatEvent(1)))
  program.kill('SIGKILL')
  await waitUntil(() => streaming.state !== ConnectionState.Open)
  expect(streaming.text).toMatch(/^transfer-encoding: chunked\r$/im)
  expect(streaming.text.endsWith('0\r\n\r\n')).toBe(false)
  await engine.close()
})
