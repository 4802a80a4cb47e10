// A service in a worker thread, which goes on answering while the event loop of the test is held up: one piece at once, the others later.
import { createServer } from 'node:http'
import { parentPort, workerData } from 'node:worker_threads'

const { delayMilliseconds, pieceCount, piece } = workerData

const server = createServer((_request, response) => {
  response.write(piece)
  setTimeout(() => {
    for (let count = 1; count < pieceCount; count++) response.write(piece)
    response.end()
  }, delayMilliseconds)
})
server.listen(0, '127.0.0.1', () => parentPort.postMessage(`127.0.0.1:${server.address().port}`))
