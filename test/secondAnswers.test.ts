import { afterEach, beforeEach, expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { HttpServiceClient } from '../src/endpoint/index.ts'
import { startScriptedServer } from './fakes/scriptedServer.ts'
import { Fault, Framing, answerText } from './fakes/stutteringEndpoint.ts'
import { StutteringWorld, faultOf, prefixes, wholeAnswer } from './fakes/stutteringWorld.ts'

let world: StutteringWorld
beforeEach(async () => { world = await StutteringWorld.start() })
afterEach(() => world.close())

/** Sends a request whose answer stops in the middle of its body, or as far from there as is said. */
async function cutOnce (id: string, prefix: string, framing: Framing, cutOf: (answer: string) => number = answer => answer.length - 100) {
  const response = await world.ask(prefix, id, { framing, cut: cutOf(wholeAnswer(id, prefix, framing)), fault: Fault.SecondAnswer })
  return { status: response?.status, fault: faultOf(id, prefix, response), runs: world.runsOf(id) }
}

test.each(Object.values(Framing))('after a body that stops an idempotent request is tried elsewhere, a stream goes on elsewhere, and another request fails (%s)', async framing => {
  expect(await cutOnce(`i-${framing}`, '/balance/', framing)).toEqual({ status: 200, fault: undefined, runs: 2 })
  expect(await cutOnce(`s-${framing}`, '/query/', framing)).toEqual({ status: 200, fault: undefined, runs: 2 })
  expect(await cutOnce(`o-${framing}`, '/release/', framing)).toEqual({ status: 502, fault: undefined, runs: 1 })
})

test.each([Framing.Chunks, Framing.Length])('a whole answer is delivered although another one follows it (%s)', async framing => {
  for (const prefix of prefixes) expect(await cutOnce(`${prefix}${framing}`, prefix, framing, answer => answer.length)).toEqual({ status: 200, fault: undefined, runs: 1 })
})

test('an answer without a frame that another one follows is not whole', async () => {
  expect(await cutOnce('whole-none', '/release/', Framing.None, answer => answer.length)).toEqual({ status: 502, fault: undefined, runs: 1 })
})

const longBody = 'x'.repeat(400_000)
const startBytes = 300_000

test.each([
  ['a long answer with a length, which is relayed as it arrives', [longBody]],
  ['an answer with a length', ['short']]
])('%s is delivered although its body shows the head of an answer', async (_name, parts) => {
  const shown = `HTTP/1.1 200 OK\r\nattempt-id: other\r\ncontent-length: 2\r\n\r\nok${parts.join('')}`
  const endpoint = await world.harness.startEndpoint('engines')
  endpoint.handleWith(({ headers }, { socket }) => { socket?.write(answerText(String(headers['attempt-id']), Framing.Length, [shown])) })
  expect(await world.askEngines('shown')).toMatchObject({ status: 200, body: shown, isComplete: true })
})

test.each([Framing.Chunks, Framing.Length])('a long answer that is relayed as it arrives does not look complete when a second answer completes it (%s)', async framing => {
  const endpoint = await world.harness.startEndpoint('engines')
  endpoint.handleWith(async ({ headers }, { socket }) => {
    const whole = answerText(String(headers['attempt-id']), framing, [longBody])
    const head = whole.slice(0, whole.indexOf('\r\n\r\n'))
    // In chunks the second head fills just what is missing of the chunk.
    const cut = framing === Framing.Length ? startBytes : whole.lastIndexOf('x') + 1 - head.length - 2
    socket?.write(whole.slice(0, cut))
    setTimeout(() => socket?.write(whole), 20)
  })
  const response = await world.askEngines('relayed')
  expect(response?.isComplete ?? false).toBe(false)
  expect(response?.body ?? '').not.toContain('attempt-id')
})

test('a daemon does not take the answer to a call for whole that a second answer completes', async () => {
  const server = await startScriptedServer(socket => {
    const whole = `HTTP/1.1 200 OK\r\nidempotency-key: k-1\r\ncontent-length: ${longBody.length}\r\n\r\n${longBody}`
    socket.write(whole.slice(0, startBytes) + whole)
  })
  const client = new HttpServiceClient({ clock: new SystemClock(), connectTimeoutMilliseconds: 1_000, inactivityTimeoutMilliseconds: 2_000 })
  const endpoint = { name: 'e', kind: 'service', address: server.address, place: { region: 'r', dataCentre: 'd' }, versions: [], service: 'ledger', checksFencing: true } as const
  const call = { method: 'POST', path: '/', contentType: undefined, body: undefined, idempotencyKey: 'k-1', traceParent: undefined }
  const answer = await client.call(endpoint, call, () => true, new AbortController().signal)
  expect(answer.err && answer.val.delivery).toBe('maybe')
  await server.close()
})

test.each([Fault.OldStart, Fault.OldEnd])('part of an earlier answer, read on a kept connection as the next request is written, reaches no other request (%s)', async fault => {
  const length = wholeAnswer('old-0000', '/balance/', Framing.Length).length
  for (let cut = 0; cut <= length; cut += 1) {
    const id = `old-${String(cut).padStart(4, '0')}`
    const response = await world.ask('/balance/', id, { framing: Framing.Length, cut, fault })
    expect(faultOf(id, '/balance/', response)).toBeUndefined()
  }
  expect(world.endpoints.idsBehindOldParts.length).toBeGreaterThan(length / 3)
})
