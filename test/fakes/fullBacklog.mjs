// A listener in a worker thread that accepts nothing, so that further connections hang once its backlog is full.
import { createServer } from 'node:net'
import { parentPort } from 'node:worker_threads'

const server = createServer()
server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
  parentPort.postMessage(server.address().port)
  setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0))
})
