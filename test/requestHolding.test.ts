import { expect, test } from 'vitest'
import { RequestHolding } from '../src/gateway/requestHolding.ts'
import { HeldBytes } from '../src/server/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

const maximumBytes = 1_000_000

function openHolding () {
  const clock = new ManualClock()
  const [heldBytes, heldAnswers] = [new HeldBytes({ maximumBytes, clock }), new HeldBytes({ maximumBytes, clock })]
  const response = { writableFinished: true, writableLength: 0, destroyed: false }
  return { heldBytes, heldAnswers, holding: new RequestHolding({ heldBytes, heldAnswers }, response as never) }
}

test('what is held of an answer takes no room of callers', () => {
  const { heldBytes, heldAnswers, holding } = openHolding()
  expect(holding.trySetAnswer(500_000)).toBe(true)
  expect(heldAnswers.totalBytes).toBe(500_000)
  expect(heldBytes.totalBytes).toBe(0)
})

test('an answer for which there is no room keeps what it held, and gives it back when it is passed on', () => {
  const { heldAnswers, holding } = openHolding()
  expect(holding.trySetAnswer(700_000)).toBe(true)
  expect(holding.trySetAnswer(800_000)).toBe(false)
  expect(heldAnswers.totalBytes).toBe(700_000)
  expect(holding.trySetAnswer(100)).toBe(true)
  expect(heldAnswers.totalBytes).toBe(100)
  expect(holding.trySetAnswer(0)).toBe(true)
  expect(heldAnswers.totalBytes).toBe(0)
})

test('nothing of an answer is held once its request is over', () => {
  const { heldAnswers, holding } = openHolding()
  holding.trySetAnswer(500_000)
  holding.endWork()
  expect(heldAnswers.totalBytes).toBe(0)
})
