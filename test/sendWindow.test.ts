import { beforeEach, expect, test } from 'vitest'
import { PlannedStop, SendWindow } from '../src/gateway/index.ts'
import { RunDurations } from '../src/placement/index.ts'
import { type Route, RouteType } from '../src/routing/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

const lastSendAt = 3_000
let clock: ManualClock
let plannedStop: PlannedStop
let runDurations: RunDurations
beforeEach(() => {
  clock = new ManualClock(0)
  plannedStop = new PlannedStop(clock)
  runDurations = new RunDurations()
})

function windowOf (type: RouteType, deadline = 20_000, isResumable = false): SendWindow {
  return new SendWindow({ plannedStop, runDurations, route: { name: 'route', type, isResumable } as Route, deadline, now: () => clock.now() })
}

function record (milliseconds: readonly number[]): void {
  for (const each of milliseconds) runDurations.open('route', 0).close(true, each)
}

test('every request may be sent while no stop has begun', () => {
  expect(windowOf(RouteType.AtMostOnce).closesAt).toBe(Infinity)
})

test('a request may be sent as long as its route\'s runs end before the stop does, and one that may run once only if the longest do', () => {
  record([...Array(39).fill(400), 1_500])
  plannedStop.begin(lastSendAt)
  expect(windowOf(RouteType.Idempotent).closesAt).toBe(lastSendAt - 400)
  expect(windowOf(RouteType.AtMostOnce).closesAt).toBe(lastSendAt - 1_500)
  expect(windowOf(RouteType.Stream).closesAt).toBe(lastSendAt - 1_500)
  expect(windowOf(RouteType.Stream, 20_000, true).closesAt).toBe(lastSendAt - 400)
})

test('a request whose own deadline comes before the end may be sent, however long its route takes', () => {
  record([9_000])
  plannedStop.begin(lastSendAt)
  expect(windowOf(RouteType.AtMostOnce, lastSendAt).isClosed).toBe(false)
  expect(windowOf(RouteType.AtMostOnce, lastSendAt + 1).isClosed).toBe(true)
})

test('a request on a route that was never answered may be sent only if its deadline comes before the end', () => {
  plannedStop.begin(lastSendAt)
  expect(windowOf(RouteType.Idempotent).isClosed).toBe(true)
  expect(windowOf(RouteType.Idempotent, 2_900).isClosed).toBe(false)
})

test('a stream that has begun is resumed if the rest of it is likely to end in time', async () => {
  record([2_000])
  const window = windowOf(RouteType.Stream, 20_000, true)
  plannedStop.begin(lastSendAt)
  expect(window.closesAt).toBe(lastSendAt - 2_000)
  window.recordStreamStart(0)
  await clock.advance(1_200)
  expect(window.closesAt).toBe(lastSendAt - 800)
  await clock.advance(1_200)
  expect(window.closesAt).toBe(lastSendAt - 500)
})
