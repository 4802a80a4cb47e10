import fc from 'fast-check'
import { expect, test } from 'vitest'
import { broadcastBranches, type EndpointRecord, mergeEndpointRecords, mergeMemberRecords, type MemberRecord, type MemberStatus } from '../src/membership/index.ts'

const seed = 20261203

const endpointRecord: fc.Arbitrary<EndpointRecord> = fc.record({
  name: fc.constant('engine-1'),
  incarnation: fc.integer({ min: 1, max: 3 }),
  leaving: fc.boolean(),
  at: fc.integer({ min: 0, max: 4 }),
  failures: fc.integer({ min: 0, max: 3 }),
  report: fc.constant(undefined)
})

const memberRecord: fc.Arbitrary<MemberRecord> = fc.record({
  identity: fc.record({
    name: fc.constant('a-01'),
    address: fc.constant('10.0.0.1:7000'),
    place: fc.constant({ region: 'r', dataCentre: 'a' }),
    rack: fc.constant('r1'),
    incarnation: fc.integer({ min: 1, max: 3 })
  }),
  refutation: fc.integer({ min: 0, max: 3 }),
  status: fc.constantFrom<MemberStatus>(0, 1, 2),
  leaving: fc.boolean()
})

/** Some news, and the same news in another order with some of it twice. */
function twoOrders<Record> (record: fc.Arbitrary<Record>): fc.Arbitrary<[Record[], Record[]]> {
  return fc.array(record, { minLength: 1, maxLength: 12 }).chain(news => fc.tuple(
    fc.constant(news),
    fc.shuffledSubarray([...news, ...news], { minLength: news.length * 2 })
  ))
}

test('news of an endpoint leads to one record in any order, and a mark of the last incarnation stays', () => {
  fc.assert(fc.property(twoOrders(endpointRecord), ([news, mixed]) => {
    const joined = news.reduce(mergeEndpointRecords)
    expect(mixed.reduce(mergeEndpointRecords)).toEqual(joined)
    const last = Math.max(...news.map(record => record.incarnation))
    expect(joined.leaving).toBe(news.some(record => record.incarnation === last && record.leaving))
  }), { seed, numRuns: 2_000 })
})

test('news of a member leads to one record in any order, and a mark of the last incarnation stays', () => {
  fc.assert(fc.property(twoOrders(memberRecord), ([news, mixed]) => {
    const joined = news.reduce(mergeMemberRecords)
    expect(mixed.reduce(mergeMemberRecords)).toEqual(joined)
    const last = Math.max(...news.map(record => record.identity.incarnation))
    expect(joined.leaving).toBe(news.some(record => record.identity.incarnation === last && record.leaving))
  }), { seed, numRuns: 2_000 })
})

test('the branches of a stretch tell each member of it exactly once', () => {
  const told = (from: number, reach: number): number[] => broadcastBranches(reach).flatMap(branch => [from + branch.offset, ...told(from + branch.offset, branch.span)])
  for (let reach = 0; reach < 200; reach++) {
    expect(told(0, reach).sort((left, right) => left - right)).toEqual(Array.from({ length: reach }, (_, index) => index + 1))
  }
})
