import { expect, test } from 'vitest'
import { DeadlineReader } from '../src/endpoint/deadlineReader.ts'
import { Exchange } from '../src/endpoint/exchange.ts'
import { ManualClock } from './fakes/manualClock.ts'

function startReading () {
  const clock = new ManualClock()
  const exchange = new Exchange({ clock, method: 'GET', path: '/', headers: {}, body: undefined, inactivityTimeoutMilliseconds: 60_000, mayStillSend: () => true })
  return { clock, exchange, reader: new DeadlineReader(exchange, clock) }
}

const head = { type: 'head', status: 200, headers: {} }
const receiveHead = (exchange: Exchange) => exchange.onResponseStart({} as never, 200, {})

test('an event that comes before the deadline is returned, and one that is there already at once', async () => {
  const { clock, exchange, reader } = startReading()
  const waiting = reader.next(clock.now() + 100)
  receiveHead(exchange)
  expect(await waiting).toEqual(head)
  receiveHead(exchange)
  expect(await reader.next(clock.now())).toEqual(head)
})

test('a wait ends at its own deadline, also when an earlier wait had set the timer', async () => {
  const { clock, exchange, reader } = startReading()
  const first = reader.next(clock.now() + 100)
  await clock.advance(60)
  receiveHead(exchange)
  await first
  let ended: unknown = 'waiting'
  reader.next(clock.now() + 100).then(event => { ended = event }, () => undefined)
  await clock.advance(99)
  expect(ended).toBe('waiting')
  await clock.advance(1)
  expect(ended).toBeUndefined()
})

test('a wait with an earlier deadline than the one before ends at its own', async () => {
  const { clock, exchange, reader } = startReading()
  const first = reader.next(clock.now() + 1_000)
  receiveHead(exchange)
  await first
  const second = reader.next(clock.now() + 50)
  await clock.advance(50)
  expect(await second).toBeUndefined()
})

test('an event after a deadline is not lost', async () => {
  const { clock, exchange, reader } = startReading()
  const first = reader.next(clock.now() + 10)
  await clock.advance(10)
  expect(await first).toBeUndefined()
  receiveHead(exchange)
  expect(await reader.next(clock.now() + 10)).toEqual(head)
})

test('a failure of the exchange ends a wait', async () => {
  const { clock, exchange, reader } = startReading()
  const waiting = reader.next(clock.now() + 10)
  exchange.abort('cancelled')
  expect(await waiting).toEqual({ type: 'failure', reason: 'cancelled', timedOut: false })
})
