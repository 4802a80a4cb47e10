import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { type MisdirectionFact, MisdirectedEndpoints } from '../src/misdirection/index.ts'
import { addressReuseMilliseconds, noMisdirected, registrationMilliseconds } from './fakes/misdirection.ts'

const endpoint = { identity: 'i-1', bornAt: 7, address: '10.0.0.1:80', heartbeat: 5 }
const renewed = { ...endpoint, heartbeat: 6 }
const longestWait = 2 * registrationMilliseconds

/** The memory of a gateway whose request of 0 ms was rejected at 10 ms. */
function afterRejection (options: Parameters<typeof noMisdirected>[0] = {}): MisdirectedEndpoints {
  const misdirected = noMisdirected(options)
  expect(misdirected.recordRejection(endpoint, 0, 10)).toBe(true)
  return misdirected
}

test('after a rejection an incarnation gets nothing at its address, also under an older row, and others are not concerned', () => {
  const misdirected = afterRejection()
  expect(misdirected.isMisdirected(endpoint, 11)).toBe(true)
  expect(misdirected.isMisdirected({ ...endpoint, heartbeat: 4 }, 11)).toBe(true)
  for (const other of [{ ...endpoint, bornAt: 8, heartbeat: 1 }, { ...endpoint, address: '10.0.0.2:80' }, { ...endpoint, identity: 'i-2' }]) {
    expect(misdirected.isMisdirected(other, 11)).toBe(false)
  }
})

test('several rejections of requests that were under way are news once', () => {
  const misdirected = afterRejection()
  expect(misdirected.recordRejection(endpoint, 5, 12)).toBe(false)
  expect(misdirected.news(12).map(({ revision }) => revision)).toEqual([1])
})

test('a later heartbeat lets one request try the endpoint, and a rejection of it holds until a still later one', () => {
  const misdirected = afterRejection()
  expect(misdirected.isMisdirected(renewed, 20)).toBe(false)
  misdirected.recordSent(renewed, 20)
  expect(misdirected.isMisdirected(renewed, 21)).toBe(true)
  misdirected.recordRejection(renewed, 20, 22)
  expect(misdirected.isMisdirected(renewed, 4_000)).toBe(true)
  expect(misdirected.isMisdirected({ ...renewed, heartbeat: 7 }, 4_000)).toBe(false)
})

test('an answer to a request that was sent after the rejection gives the endpoint its work back, and an earlier one does not', () => {
  const misdirected = afterRejection()
  expect(misdirected.recordAnswer(endpoint, 9, 30)).toBe(false)
  expect(misdirected.isMisdirected(endpoint, 30)).toBe(true)
  misdirected.recordSent(renewed, 40)
  expect(misdirected.recordAnswer(renewed, 40, 50)).toBe(true)
  expect(misdirected.isMisdirected(endpoint, 50)).toBe(false)
  expect(misdirected.news(50)).toEqual([{ instance: 'i-1@7', address: endpoint.address, heartbeat: 6, revision: 2, isMisdirected: false }])
})

test('a rejection that arrives late does not take back the work of an endpoint that has answered meanwhile', () => {
  const misdirected = afterRejection()
  misdirected.recordSent(renewed, 40)
  expect(misdirected.recordAnswer(renewed, 40, 50)).toBe(true)
  expect(misdirected.recordRejection(endpoint, 5, 60)).toBe(false)
  expect(misdirected.isMisdirected(endpoint, 60)).toBe(false)
  expect(misdirected.recordRejection(endpoint, 55, 70)).toBe(true)
  expect(misdirected.isMisdirected(endpoint, 70)).toBe(true)
})

test('a trial without any response is followed by another one', () => {
  const misdirected = afterRejection()
  misdirected.recordSent(renewed, 20)
  expect(misdirected.isMisdirected(renewed, 1_900)).toBe(true)
  expect(misdirected.isMisdirected(renewed, 2_100)).toBe(false)
})

test('a registration that outlives that of an ended endpoint lets one request try it, and each rejection doubles the wait', () => {
  const misdirected = afterRejection()
  expect(misdirected.isMisdirected(endpoint, 10 + registrationMilliseconds - 1)).toBe(true)
  expect(misdirected.isMisdirected(endpoint, 10 + longestWait)).toBe(false)
  const triedAt = 10 + longestWait
  misdirected.recordSent(endpoint, triedAt)
  misdirected.recordRejection(endpoint, triedAt, triedAt + 5)
  expect(misdirected.isMisdirected(endpoint, triedAt + 5 + 2 * registrationMilliseconds - 1)).toBe(true)
  expect(misdirected.isMisdirected(endpoint, triedAt + 5 + 2 * longestWait)).toBe(false)
})

test('while the store is not followed a registration that stays shows nothing', () => {
  let followedSince = Number.POSITIVE_INFINITY
  const misdirected = afterRejection({ followedSince: () => followedSince })
  expect(misdirected.isMisdirected(endpoint, 600_000)).toBe(true)
  followedSince = 600_000
  expect(misdirected.isMisdirected(endpoint, 600_000 + registrationMilliseconds - 1)).toBe(true)
  expect(misdirected.isMisdirected(endpoint, 600_000 + longestWait)).toBe(false)
})

test('a change is told once, with what it was concluded from', () => {
  const changes: string[] = []
  const misdirected = afterRejection({ onChange: ({ type, source }) => changes.push(`${type} ${source}`) })
  misdirected.merge(misdirected.all(11), 11)
  misdirected.recordSent(renewed, 20)
  misdirected.recordAnswer(renewed, 20, 21)
  misdirected.recordSent(renewed, 22)
  misdirected.recordAnswer(renewed, 22, 23)
  expect(changes).toEqual(['lost response', 'tried heartbeat', 'confirmed response'])
})

test('what is remembered and what is told at a time is bounded, and ends', () => {
  const misdirected = noMisdirected()
  for (let index = 0; index < 5_000; index++) misdirected.recordRejection({ ...endpoint, identity: `i-${index}` }, 0, 0)
  expect(misdirected.all(0).length).toBe(2_048)
  expect(misdirected.news(0).length).toBe(256)
  expect(misdirected.isMisdirected({ ...endpoint, identity: 'i-4999' }, 0)).toBe(true)
  expect(misdirected.news(10_000)).toEqual([])
  expect(misdirected.all(700_000)).toEqual([])
})

const factArbitrary = fc.record({
  instance: fc.constantFrom('i-1@7', 'i-2@7'),
  address: fc.constantFrom('10.0.0.1:80', '10.0.0.2:80'),
  heartbeat: fc.integer({ min: 1, max: 3 }),
  revision: fc.integer({ min: 1, max: 3 }),
  isMisdirected: fc.boolean()
})

test('gateways that heard the same facts know the same, in whatever order and however often they heard them', () => {
  const known = (facts: readonly MisdirectionFact[]) => {
    const misdirected = noMisdirected()
    for (const fact of facts) misdirected.merge([fact], 0)
    return new Set(misdirected.all(0).map(fact => JSON.stringify(fact)))
  }
  fc.assert(fc.property(fc.array(factArbitrary).chain(facts => fc.tuple(fc.constant(facts), fc.shuffledSubarray([...facts, ...facts], { minLength: 2 * facts.length }))), ([facts, shuffled]) => {
    expect(known(shuffled)).toEqual(known(facts))
  }), { seed: 48, numRuns: 300 })
})

test('a rejection that one gateway saw holds at all that heard of it, whatever each of them saw before', () => {
  fc.assert(fc.property(fc.array(factArbitrary), fc.array(factArbitrary), (left, right) => {
    const [observer, other] = [noMisdirected(), noMisdirected()]
    observer.merge(left, 0)
    other.merge(right, 0)
    const rejected = { identity: 'i-1', bornAt: 7, address: '10.0.0.1:80', heartbeat: 3 }
    observer.merge(other.all(0), 0)
    observer.recordRejection(rejected, 1, 1)
    other.merge(observer.all(1), 1)
    expect(other.isMisdirected(rejected, 2)).toBe(true)
  }), { seed: 48, numRuns: 300 })
})

test('an endpoint that answered so lately that its address can not be used again yet is kept, also if another gateway tells of a rejection', () => {
  const [busy, idle] = [noMisdirected(), noMisdirected()]
  const justBefore = addressReuseMilliseconds / 2 - 1
  busy.recordAnswer(endpoint, 0, 5)
  expect(busy.hasJustAnswered(endpoint, justBefore)).toBe(true)
  expect(busy.hasJustAnswered({ ...endpoint, bornAt: 8 }, justBefore)).toBe(false)
  expect(busy.hasJustAnswered(endpoint, justBefore + 1)).toBe(false)
  idle.recordRejection(endpoint, 0, 10)
  expect(busy.merge(idle.all(10), justBefore)).toBe(true)
  expect(busy.isMisdirected(endpoint, justBefore)).toBe(false)
  idle.merge(busy.all(justBefore), justBefore)
  expect(idle.isMisdirected(endpoint, justBefore)).toBe(false)
})

test('a rejection after an answer counts as the first one', () => {
  const misdirected = afterRejection()
  for (let sentAt = 10 + longestWait, round = 0; round < 5; round++, sentAt += longestWait + 2) {
    expect(misdirected.isMisdirected(endpoint, sentAt)).toBe(false)
    misdirected.recordAnswer(endpoint, sentAt, sentAt + 1)
    misdirected.recordRejection(endpoint, sentAt + 1, sentAt + 2)
  }
})
