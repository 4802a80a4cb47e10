/**
 * Two of four engines send one stream in twenty without a length and without chunks; it ends with its connection.
 * The process of the gateway that passes the streams on is killed in the middle of them; no client may take what it
 * has got for a whole answer.
 */
import type { EndpointStandIn } from '../../platform/standin/index.ts'
import { type Answer, ConnectionEnd, call } from '../lib/caller.ts'
import { Trial, Verdict, hasTrouble, pause } from '../lib/trial.ts'

const engineCount = 4
/** Engines that send some of their streams without a frame. */
const unframedEngineCount = 2
const streamsPerUnframed = 20
const streamCount = 160
const eventCount = 40
const eventIntervalMilliseconds = 100
const timeBeforeKillMilliseconds = 1_700
const timeoutMilliseconds = 20_000

const routes = [{
  name: 'query', hostname: 'desk.example', prefix: '/query/', route_type: 'streaming', timeout_ms: timeoutMilliseconds, target_latency_ms: 4_000, target_gap_ms: 1_500, priority: 1, max_attempts: 3, public: false, affinity: true, resumable: true, backend: 'engines'
}]

function eventText (id: number): string {
  return `id: ${id}\ndata: piece ${id} of ${eventCount}\n\n`
}

/** Writes all events of a stream, with chunks or, one in twenty at some engines, without a frame. */
function stream (trial: Trial, engine: EndpointStandIn, sendsUnframed: boolean): void {
  let count = 0
  engine.handleWith(async ({ headers }, response) => {
    const { socket } = response
    if (socket === null) return
    const id = headers['attempt-id']
    const isUnframed = ++count % streamsPerUnframed === 0 && sendsUnframed
    trial.record(`${engine.identity} runs ${id}${isUnframed ? ', without a frame' : ''}`)
    if (isUnframed) socket.write(`HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nserver-seal: seal-of-${engine.identity}\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n`)
    else response.writeHead(200, { 'content-type': 'text/event-stream' })
    for (let event = 1; event <= eventCount && !socket.destroyed; event++) {
      if (isUnframed) socket.write(eventText(event))
      else response.write(eventText(event))
      await pause(eventIntervalMilliseconds)
    }
    if (socket.destroyed) return
    if (isUnframed) socket.end()
    else response.end()
  })
}

/** Whether an answer looks whole to a client: a sealed success whose framing says that it ended where it did. */
function looksWhole ({ head, body, end }: Answer): boolean {
  if (!head.startsWith('HTTP/1.1 200') || !/^server-seal:/im.test(head)) return false
  if (/^transfer-encoding: *chunked/im.test(head)) return body.endsWith('0\r\n\r\n')
  const length = /^content-length: *(\d+)/im.exec(head)?.[1]
  if (length !== undefined) return body.length === Number(length)
  return end === ConnectionEnd.Orderly && body.endsWith('\n\n')
}

function eventsIn ({ body }: Answer): number {
  return body.match(/^id: \d+$/gm)?.length ?? 0
}

Trial.run('review/1/record.txt', async trial => {
  trial.putConfiguration(1, { routes })
  for (let number = 1; number <= engineCount; number++) stream(trial, await trial.startEndpoint('engines', { llms: [], slots: 64 }), number <= unframedEngineCount)
  const gateway = await trial.startGateway()
  await trial.startGateway()
  const calls = Array.from({ length: streamCount }, async (_, index) => {
    const id = `stream-${index + 1}`
    trial.record(`client sends ${id}`)
    const answer = await call({ host: gateway.host, method: 'POST', path: '/query/1', id, body: 'question', headers: { connection: 'close', 'token-usage': '100,400', 'prefix-hash': 'a1:60,b2:40' }, timeoutMilliseconds })
    const isWhole = looksWhole(answer)
    if (isWhole) trial.record(`client of ${id}: ${answer.head.split('\r\n').join(' | ')}`)
    trial.record(`client of ${id}: ${eventsIn(answer)} of ${eventCount} events, connection end: ${answer.end}, looks whole: ${isWhole}`)
    return { isWhole, events: eventsIn(answer) }
  })
  if (hasTrouble) {
    await pause(timeBeforeKillMilliseconds)
    trial.record(`kill -9 of gateway ${gateway.host}`)
    gateway.process.kill('SIGKILL')
  }
  const outcomes = await Promise.all(calls)
  const falselyWhole = outcomes.filter(({ isWhole, events }) => isWhole && events < eventCount).length
  const whole = outcomes.filter(({ events }) => events === eventCount).length
  trial.record(`${falselyWhole} of ${streamCount} answers ended early and look whole; ${whole} are whole`)
  if (!hasTrouble && whole < streamCount) return Verdict.CouldNotRun
  return falselyWhole > 0 ? Verdict.Broken : Verdict.Held
})
