import type { ServerResponse } from 'node:http'
import { afterAll, afterEach, beforeAll, beforeEach, expect, test } from 'vitest'
import { ForwarderHarness, formatEvent } from './fakes/forwarderWorld.ts'
import { GatewayProcess, allocateProcessHost, buildProgram, removeProgram } from './fakes/gatewayProcess.ts'
import { pause } from './fakes/rawCaller.ts'

const limits = { memory_mb: 210, max_fds: 2_212, link_mbps: 1_000 }
const deadlineMilliseconds = 1_500
const pieceCount = 8
const pieceMilliseconds = 80
/** Most pieces have been read by then, and the rest arrives in the stall, long before the deadline. */
const stallAfterMilliseconds = 460
const stallMilliseconds = 1_200
const callsPerKind = 5
const rounds = 4
/** More than is read of a connection in a few turns of the event loop. */
const manyPieces = 2_000
/** What is read before an answer has this length is passed on only once it is whole. */
const longPiece = 'x'.repeat(60_000)
const shortPiece = 'y'.repeat(20)

const pieces = (count: number, piece: string) => Array.from({ length: count }, () => piece)
const events = (count: number) => Array.from({ length: count }, (_, index) => formatEvent(index + 1))

/** Paths, and the pieces of their answers; those beyond the first ones follow at once. */
const kinds: Record<string, { readonly path: string, readonly pieces: readonly string[] }> = {
  stream: { path: '/query/few', pieces: events(pieceCount) },
  'stream of many events': { path: '/query/many', pieces: events(manyPieces) },
  'error body of a stream': { path: '/query/error', pieces: pieces(pieceCount, shortPiece) },
  'short answer': { path: '/release/short', pieces: pieces(pieceCount, shortPiece) },
  'answer in many pieces': { path: '/release/many', pieces: pieces(manyPieces, shortPiece) },
  'relayed answer': { path: '/balance/relayed', pieces: [...pieces(pieceCount - 1, longPiece), ...pieces(manyPieces, shortPiece)] }
}

let directory: string
let harness: ForwarderHarness
let gateway: GatewayProcess
beforeAll(() => { directory = buildProgram() }, 60_000)
afterAll(() => removeProgram(directory))
beforeEach(async () => {
  harness = await ForwarderHarness.start()
  harness.putConfiguration(1)
  gateway = new GatewayProcess(directory, allocateProcessHost(), harness.store.address, limits)
})
afterEach(async () => {
  await gateway.stop(3_000)
  await harness.close()
})

async function sendPieces (response: ServerResponse, path: string): Promise<void> {
  const [kind] = Object.values(kinds).filter(kind => kind.path === path)
  for (const [index, piece] of kind!.pieces.entries()) {
    if (index > 0 && index < pieceCount) await pause(pieceMilliseconds)
    response.write(piece)
  }
  response.end()
}

test('answers that were whole at their endpoint before their deadline are delivered whole by a gateway that is stopped over it, again and again', async () => {
  const engine = await harness.startEndpoint('engines', { slots: 100 })
  engine.handleWith(({ path }, response) => {
    response.writeHead(path === '/query/error' ? 400 : 200, { 'content-type': 'text/event-stream', confidence: 90 })
    return sendPieces(response, path)
  })
  const ledger = await harness.startEndpoint('ledger', { slots: 100 })
  ledger.handleWith(({ path }, response) => sendPieces(response, path))
  await harness.waitUntilReady(gateway.host)
  const cut = Object.fromEntries(Object.keys(kinds).map(kind => [kind, 0]))
  for (let round = 0; round < rounds; round++) {
    const calls = Object.entries(kinds).flatMap(([kind, { path, pieces }]) => Array.from({ length: callsPerKind }, async () => {
      const answer = await harness.call(gateway.host, path, { headers: { 'deadline-ms': String(deadlineMilliseconds) } }).catch(() => undefined)
      if (answer?.isComplete !== true || answer.body !== pieces.join('')) cut[kind]!++
    }))
    await pause(stallAfterMilliseconds)
    await gateway.holdUp(stallMilliseconds)
    await Promise.all(calls)
  }
  if (process.env['LAVENDERDOOR_SHOW_TIMES'] !== undefined) console.log(JSON.stringify({ calls: rounds * callsPerKind, cut }))
  expect([...engine.received, ...ledger.received].filter(({ isAborted }) => isAborted)).toEqual([])
  expect(cut).toEqual(Object.fromEntries(Object.keys(kinds).map(kind => [kind, 0])))
}, 60_000)
