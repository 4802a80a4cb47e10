/**
 * An endpoint in a thread of its own that answers each request with small events without end, each in a chunk of its own,
 * as fast as they are taken. Tells its port, and the bytes that its connections have taken when it is asked.
 */
import { createServer } from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'

const blockEvents = 1_000
let takenBytes = 0

function nextBlock (firstId) {
  let text = ''
  for (let offset = 0; offset < blockEvents; offset++) {
    const event = workerData.isRising ? `id: ${firstId + offset}\ndata: x\n\n` : 'id: 1\n\n'
    text += `${event.length.toString(16)}\r\n${event}\r\n`
  }
  return text
}

const server = createServer(socket => {
  let request = ''
  let firstId = 1
  const send = () => {
    if (socket.destroyed) return
    const block = nextBlock(firstId)
    firstId += blockEvents
    socket.write(block, 'latin1', () => {
      takenBytes += block.length
      setImmediate(send)
    })
  }
  socket.on('error', () => socket.destroy())
  socket.on('data', bytes => {
    const hasBegun = request.includes('\r\n\r\n')
    request += bytes.toString('latin1')
    if (hasBegun || !request.includes('\r\n\r\n')) return
    const id = /^attempt-id: *(.*)\r$/im.exec(request)?.[1]
    socket.write(`HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nserver-seal: s\r\nconfidence: 90\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`)
    send()
  })
})
server.listen(0, '127.0.0.1', () => parentPort.postMessage({ port: server.address().port }))
parentPort.on('message', () => parentPort.postMessage({ takenBytes }))
