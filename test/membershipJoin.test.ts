import fc from 'fast-check'
import { expect, test } from 'vitest'
import { broadcastBranches, type EndpointRecord, mergeEndpointRecords, mergeMemberRecords, type MemberRecord, type MemberStatus } from '../src/membership/index.ts'

const seed = 20261203

const endpointRecordArbitrary: fc.Arbitrary<EndpointRecord> = fc.record({
  name: fc.constant('engine-1'),
  incarnation: fc.integer({ min: 1, max: 3 }),
  leaving: fc.boolean(),
  at: fc.integer({ min: 0, max: 4 }),
  failures: fc.integer({ min: 0, max: 3 }),
  report: fc.constant(undefined)
})

const memberRecordArbitrary: fc.Arbitrary<MemberRecord> = fc.record({
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

/** A list of records, and a shuffled copy in which some are repeated. */
function shuffledRecords<Item> (itemArbitrary: fc.Arbitrary<Item>): fc.Arbitrary<[Item[], Item[]]> {
  return fc.array(itemArbitrary, { minLength: 1, maxLength: 12 }).chain(records => fc.tuple(
    fc.constant(records),
    fc.shuffledSubarray([...records, ...records], { minLength: records.length * 2 })
  ))
}

test('endpoint records merge to the same result in any order, and a leaving mark of the latest incarnation persists', () => {
  fc.assert(fc.property(shuffledRecords(endpointRecordArbitrary), ([records, shuffled]) => {
    const merged = records.reduce(mergeEndpointRecords)
    expect(shuffled.reduce(mergeEndpointRecords)).toEqual(merged)
    const latestIncarnation = Math.max(...records.map(record => record.incarnation))
    expect(merged.leaving).toBe(records.some(record => record.incarnation === latestIncarnation && record.leaving))
  }), { seed, numRuns: 2_000 })
})

test('member records merge to the same result in any order, and a leaving mark of the latest incarnation persists', () => {
  fc.assert(fc.property(shuffledRecords(memberRecordArbitrary), ([records, shuffled]) => {
    const merged = records.reduce(mergeMemberRecords)
    expect(shuffled.reduce(mergeMemberRecords)).toEqual(merged)
    const latestIncarnation = Math.max(...records.map(record => record.identity.incarnation))
    expect(merged.leaving).toBe(records.some(record => record.identity.incarnation === latestIncarnation && record.leaving))
  }), { seed, numRuns: 2_000 })
})

test('the broadcast branches of a span reach each of its members exactly once', () => {
  const notifiedOffsets = (from: number, span: number): number[] => broadcastBranches(span).flatMap(branch => [from + branch.offset, ...notifiedOffsets(from + branch.offset, branch.span)])
  for (let span = 0; span < 200; span++) {
    expect(notifiedOffsets(0, span).sort((left, right) => left - right)).toEqual(Array.from({ length: span }, (_, index) => index + 1))
  }
})
