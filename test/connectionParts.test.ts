import { expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { collectResponse } from '../src/endpoint/collectResponse.ts'
import { Connections } from '../src/endpoint/connections.ts'
import { startScriptedServer } from './fakes/scriptedServer.ts'

const clock = new SystemClock()
const connections = new Connections({ clock, connectTimeoutMilliseconds: 1_000 })
const mark = 'a-17'
const readBytes = 8 * 1024

const get = (address: string) => connections.startDedicated(address, { clock, method: 'GET', path: '/', headers: {}, body: undefined, inactivityTimeoutMilliseconds: 5_000, responseMark: mark, mayStillSend: () => true })
const headOf = (length: number) => `HTTP/1.1 200 OK\r\nattempt-id: ${mark}\r\ncontent-length: ${length}\r\n\r\n`

test.each([13, 17, 20, 30])('a body that ends %i bytes behind the start of a second head is not whole, wherever the part in which it is read ends', async missing => {
  const secondAnswer = `${headOf(2)}ok`
  let boundary = 0
  const server = await startScriptedServer(socket => {
    const bodyLength = readBytes - headOf(readBytes).length - boundary
    socket.end(`${headOf(bodyLength + missing)}${'x'.repeat(bodyLength)}${secondAnswer}`)
  })
  const whole: number[] = []
  for (boundary = 1; boundary < secondAnswer.length; boundary++) {
    const response = await collectResponse(get(server.address))
    if (response.ok) whole.push(boundary)
  }
  expect(whole).toEqual([])
  await server.close()
})

test('a long body arrives whole in the parts in which it is read', async () => {
  const body = Buffer.from(Array.from({ length: 500_000 }, (_, index) => index % 251))
  const server = await startScriptedServer(socket => {
    socket.write(headOf(body.length))
    socket.end(body)
  })
  expect((await collectResponse(get(server.address))).unwrap().body.equals(body)).toBe(true)
  await server.close()
})
