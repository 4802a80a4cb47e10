import { connect } from 'node:net'
import { expect, test } from 'vitest'
import { HeadRefusals } from '../src/gateway/headRefusals.ts'
import { Log } from '../src/observe/index.ts'
import { CallerListener, CloseCause, HeadTimeLimits, closeCauseOf } from '../src/server/index.ts'
import { waitUntil } from './fakes/forwarderWorld.ts'

test('a caller that resets its connection is not taken for one that sent a malformed head', async () => {
  const listener = new CallerListener()
  const lines: string[] = []
  const causes: CloseCause[] = []
  new HeadRefusals(listener, new HeadTimeLimits(listener), new Log('info', {}, line => lines.push(line))).begin()
  listener.serveWith(({ socket }) => { socket.once('close', () => causes.push(closeCauseOf(socket))) })
  const port = Number((await listener.listen('127.0.0.1:0')).split(':')[1])
  const leaving = connect(port, '127.0.0.1')
  leaving.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n')
  await waitUntil(() => listener.openResponseCount === 1)
  leaving.resetAndDestroy()
  await waitUntil(() => causes.length > 0)
  listener.server.close()
  expect(lines).toEqual([])
  expect(causes).toEqual([CloseCause.CallerLeft])
})
