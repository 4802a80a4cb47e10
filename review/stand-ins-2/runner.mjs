/**
 * A stand-in for a runner, as a process of its own. It runs one request at a time on a connection and as many at once as
 * it has slots, queues some more and refuses further ones, checks `Expect-Instance`, echoes `Attempt-Id` and seals its answers. Its parent keeps its row in the store and tells it what
 * to do; it tells its parent of each run.
 *
 * Settings (JSON, the only argument): id, host, slots, queue, unframedEvery (each such answer has neither length nor chunks), events and
 * gapMilliseconds (of a stream), plainMilliseconds and plainBytes (of another answer), headers (of all answers),
 * poison (a part of a prompt that ends the process when it begins to write an answer on it), refusals (requests that it
 * turns away with 503 at first) and retryAfterSeconds (which it then states).
 */
import { createServer } from 'node:http'

const settings = { slots: 48, queue: 100, unframedEvery: Infinity, events: 8, gapMilliseconds: 50, plainMilliseconds: 40, plainBytes: 800, headers: {}, refusals: 0, ...JSON.parse(process.argv[2]) }
const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))
const tell = message => new Promise(resolve => process.send({ ...message, runner: settings.id }, resolve))

async function serve (request, response) {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  const attempt = request.headers['attempt-id']
  if (request.url === '/healthz') return response.writeHead(200, { 'Instance-Id': settings.id, 'content-length': 0 }).end()
  if (attempt === undefined) return response.writeHead(400, { 'Not-Executed': '1', 'content-length': 0 }).end()
  if (request.headers['expect-instance'] !== settings.id) {
    return response.writeHead(421, { 'Instance-Id': settings.id, 'Attempt-Id': attempt, 'content-length': 0 }).end()
  }
  if (settings.refusals-- > 0) {
    await tell({ type: 'refused', attempt })
    return response.writeHead(503, { 'Not-Executed': '1', 'Attempt-Id': attempt, 'Retry-After': String(settings.retryAfterSeconds), 'content-length': 0 }).end()
  }
  if (!await takeSlot()) return response.writeHead(503, { 'Not-Executed': '1', 'Attempt-Id': attempt, 'content-length': 0 }).end()
  try {
    await run(request, response, attempt)
  } finally {
    giveSlot()
  }
}

let running = 0
const waiting = []

/** Waits for a slot; returns whether there is one. */
async function takeSlot () {
  if (running >= settings.slots && waiting.length >= settings.queue) return false
  if (running >= settings.slots) await new Promise(resolve => waiting.push(resolve))
  else running++
  return true
}

/** The slot goes to the request that has waited longest. */
function giveSlot () {
  const next = waiting.shift()
  if (next === undefined) running--
  else next()
}

async function run (request, response, attempt) {
  if (response.destroyed) return
  const parts = (request.headers['prefix-hash'] ?? '').split(',').filter(part => part !== '').map(part => part.split(':')[0])
  await tell({ type: 'run', attempt, path: request.url, after: request.headers['last-event-id'], parts })
  if (parts.length > 0) await writeStream(request, response, attempt, parts.includes(settings.poison))
  else await writePlain(response, attempt)
}

let answers = 0

/** Whether the next answer has a frame. Without one, it ends with its connection. */
const isNextFramed = () => ++answers % settings.unframedEvery !== 0

function begin (response, attempt, headers, isFramed) {
  const all = { 'Attempt-Id': attempt, 'Server-Seal': `seal-${settings.id}-${attempt}`, ...settings.headers, ...headers }
  if (!isFramed) {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
  }
  response.writeHead(200, all)
}

async function writeStream (request, response, attempt, isKilling) {
  const first = Number(request.headers['last-event-id'] ?? 0) + 1
  const isFramed = isNextFramed()
  if (!isFramed) await tell({ type: 'unframed', attempt })
  begin(response, attempt, { 'Content-Type': 'text/event-stream', 'Weight-Versions': '1', Confidence: '90' }, isFramed)
  if (isKilling) await crash(response, attempt)
  for (let id = first; id <= settings.events && !response.destroyed; id++) {
    response.write(`id: ${id}\ndata: piece ${id} of ${attempt}\n\n`)
    await sleep(settings.gapMilliseconds)
  }
  if (response.destroyed) return
  response.end()
  await tell({ type: 'ran', attempt })
}

/** The process ends in the middle of the first event. */
async function crash (response, attempt) {
  response.write('id: 1\ndata: piece 1')
  await sleep(settings.gapMilliseconds)
  await tell({ type: 'crash', attempt })
  process.exit(1)
}

async function writePlain (response, attempt) {
  await sleep(settings.plainMilliseconds)
  const body = Buffer.alloc(settings.plainBytes, 'x')
  begin(response, attempt, { 'content-length': body.length }, true)
  response.end(body)
  await tell({ type: 'ran', attempt })
}

const server = createServer((request, response) => {
  serve(request, response).catch(() => response.destroy())
})
server.keepAliveTimeout = 10_000
server.listen(settings.port ?? 0, settings.host, () => tell({ type: 'listening', address: `${settings.host}:${server.address().port}` }))
process.on('disconnect', () => process.exit(0))
