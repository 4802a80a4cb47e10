import { expect, test } from 'vitest'
import { ModelCascade } from '../src/placement/index.ts'

const answer = { route: 'query', model: 'large', latencyTargetMilliseconds: 2_000, maximumOutputTokens: 900, relayedEvents: 0, leastWaitMilliseconds: 0 }
const timeLimitMilliseconds = 20_000

/** A cascade after streams of one pace, an event at a time. */
function cascadeAfter (events: number, millisecondsPerEvent: number, model = 'large') {
  const cascade = new ModelCascade()
  for (let index = 0; index < 20; index++) cascade.trackLargestModelWait(0, answer.latencyTargetMilliseconds)(true, 100)
  for (let event = 0; event < events; event++) cascade.answerTimes.recordEvents('query', model, 1, millisecondsPerEvent, event * millisecondsPerEvent)
  const now = events * millisecondsPerEvent
  const thresholdAt = (time: number) => cascade.confidenceThreshold(time, cascade.answerTimes.expectedMilliseconds(answer, time) / timeLimitMilliseconds)
  return { now, threshold: thresholdAt(now), thresholdAt, answerTimes: cascade.answerTimes }
}

test('a gateway that has seen no stream yet, or streams of the usual speed, asks for the usual confidence', () => {
  expect(cascadeAfter(0, 40).threshold).toBeGreaterThan(45)
  expect(cascadeAfter(200, 60).threshold).toBeGreaterThan(45)
})

test('few events of one slow stream are enough to ask for less confidence, whichever model they came from', () => {
  for (const model of ['small', 'large']) expect(cascadeAfter(10, 400, model).threshold).toBe(0)
})

test('the confidence asked for falls steadily as streams slow down, so that a small change of speed does not swing it', () => {
  const thresholds = Array.from({ length: 40 }, (_, step) => cascadeAfter(100, 40 + 10 * step).threshold)
  for (const [index, threshold] of thresholds.slice(1).entries()) {
    expect(threshold).toBeLessThanOrEqual(thresholds[index]!)
    expect(thresholds[index]! - threshold).toBeLessThan(10)
  }
})

test('the usual confidence is asked for again when streams run fast, or when none was seen for a while', () => {
  const { now, threshold, thresholdAt, answerTimes } = cascadeAfter(50, 400)
  expect(threshold).toBe(0)
  expect(thresholdAt(now + 60_000)).toBeGreaterThan(45)
  for (let event = 0; event < 400; event++) answerTimes.recordEvents('query', 'large', 1, 40, now + event * 40)
  expect(thresholdAt(now + 16_000)).toBeGreaterThan(45)
})

test('streams that fall silent count as slow although no event of theirs arrives', () => {
  const { answerTimes } = cascadeAfter(0, 40)
  const before = answerTimes.expectedMilliseconds(answer, 0)
  answerTimes.recordEvents('query', 'large', 0, 1_200, 0)
  expect(answerTimes.expectedMilliseconds(answer, 0)).toBeGreaterThan(1.5 * before)
})

test('answers that broke off do not make long answers look short', () => {
  const { answerTimes } = cascadeAfter(0, 40)
  for (let index = 0; index < 60; index++) answerTimes.recordLength('query', 140, 900, true)
  const before = answerTimes.expectedMilliseconds(answer, 0)
  for (let index = 0; index < 60; index++) answerTimes.recordLength('query', 10, 900, false)
  expect(answerTimes.expectedMilliseconds(answer, 0)).toBe(before)
})

test('what was already relayed is not expected again, but a stream that goes on is never expected to end at once', () => {
  const { answerTimes } = cascadeAfter(0, 40)
  const [whole, half, over] = [0, 40, 2_000].map(relayedEvents => answerTimes.expectedMilliseconds({ ...answer, relayedEvents }, 0))
  expect(half).toBeLessThan(whole!)
  expect(over).toBeLessThan(half!)
  expect(over).toBeGreaterThan(0.25 * whole!)
})

test('a model whose answer is not expected to be whole in the time left is not asked, but the middle size is if it is', () => {
  const cascade = new ModelCascade()
  const modelNames = ['small', 'medium', 'large']
  const planWith = (shares: Readonly<Record<string, number>>, mayRetry: boolean) => cascade.plan(modelNames, { attemptsLeft: 3, latencyTargetShareLeft: 1, mayRetry, timeShareOf: model => shares[model]! })
  const largeIsLate = { small: 0.3, medium: 0.9, large: 1.1 }
  expect(planWith(largeIsLate, false).first).toBe('medium')
  expect(planWith(largeIsLate, true)).toEqual({ first: 'small', larger: undefined })
  expect(planWith({ small: 1.1, medium: 1.2, large: 1.3 }, false).first).toBe('small')
  expect(planWith({ small: 0.3, medium: 0.5, large: 0.9 }, true)).toEqual({ first: 'small', larger: 'large' })
})
