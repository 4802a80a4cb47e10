import { expect, test } from 'vitest'
import { RunDurations } from '../src/placement/index.ts'

const route = 'ledger'

/** Durations after runs of a route, one after the other. */
function durationsAfter (milliseconds: readonly number[], isAnswered = true): RunDurations {
  const durations = new RunDurations()
  for (const each of milliseconds) durations.open(route, 0).close(isAnswered, each)
  return durations
}

test('nothing is known of a route none of whose runs was answered', () => {
  expect(new RunDurations().longestMilliseconds(route, 0)).toBeUndefined()
  expect(durationsAfter([5, 9_000], false).usualMilliseconds(route, 0)).toBeUndefined()
})

test('the longest run is expected by who is careful, and what most runs take by others', () => {
  const durations = durationsAfter([...Array(39).fill(100), 900])
  expect(durations.longestMilliseconds(route, 0)).toBe(900)
  expect(durations.usualMilliseconds(route, 0)).toBe(100)
  expect(durations.usualMilliseconds('other', 0)).toBeUndefined()
})

test('a route that has become fast, or slow, is known by its latest runs', () => {
  const durations = durationsAfter([3_000, ...Array(64).fill(80)])
  expect(durations.longestMilliseconds(route, 0)).toBe(80)
  for (let run = 0; run < 4; run++) durations.open(route, 0).close(true, 700)
  expect(durations.usualMilliseconds(route, 0)).toBe(700)
})

test('runs that are still at work, or got no answer, show that a route has become slow, but never that it is fast', () => {
  const durations = durationsAfter([100, 100])
  const open = durations.open(route, 0)
  expect(durations.longestMilliseconds(route, 50)).toBe(100)
  expect(durations.longestMilliseconds(route, 600)).toBe(600)
  open.close(false, 2_000)
  expect(durations.longestMilliseconds(route, 2_000)).toBe(2_000)
  durations.open(route, 0).close(false, 5)
  expect(durationsAfter([100]).usualMilliseconds(route, 0)).toBe(100)
  expect(durations.usualMilliseconds(route, 0)).toBe(2_000)
})
