// A store in a worker thread: it goes on answering while the event loop of the test is held up.
import { createServer } from 'node:http'
import { parentPort, workerData } from 'node:worker_threads'

const { replyMilliseconds, connections } = workerData
const connectionCount = new Int32Array(connections)

const server = createServer((request, response) => {
  const waitMilliseconds = Number(new URL(request.url, 'http://store').searchParams.get('wait_ms') ?? 0)
  setTimeout(() => response.end(JSON.stringify({ rows: [], ver: 1, now_ms: 1 })), Math.max(replyMilliseconds, waitMilliseconds))
})
server.on('connection', () => Atomics.add(connectionCount, 0, 1))
server.listen(0, '127.0.0.1', () => parentPort.postMessage(`127.0.0.1:${server.address().port}`))
