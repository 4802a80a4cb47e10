import { once } from 'node:events'
import { type AddressInfo, createServer } from 'node:net'
import { expect, test } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'
import { ConnectionOutcome, connectionProbe } from '../src/httpClient/index.ts'
import { block } from './fakes/rawCaller.ts'

const timeoutMilliseconds = 100

test.each([[true, ConnectionOutcome.Accepted], [false, ConnectionOutcome.Refused]])('an endpoint whose listening is %s is seen as such although the answer is read late, after a stall', async (isListening, expected) => {
  const listener = createServer().listen({ host: '127.0.0.1', port: 0 })
  await once(listener, 'listening')
  const address = `127.0.0.1:${(listener.address() as AddressInfo).port}`
  if (!isListening) await new Promise(resolve => listener.close(resolve))
  const outcome = connectionProbe(timeoutMilliseconds, new SystemClock())(address)
  block(3 * timeoutMilliseconds)
  expect(await outcome).toBe(expected)
  listener.close()
})
