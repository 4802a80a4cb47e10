import { Registry } from 'prom-client'
import { expect, test } from 'vitest'
import type { HoldUpListener } from '../src/contract/index.ts'
import { EventLoopStalls, type LogFields, createStallMetrics } from '../src/observe/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

function startStalls () {
  const clock = new ManualClock()
  const registry = new Registry()
  const lines: LogFields[] = []
  const monitor: { tell: HoldUpListener } = { tell: () => undefined }
  const stalls = new EventLoopStalls({
    clock: { schedule: (...wait) => clock.schedule(...wait), startMonitor: listener => { monitor.tell = listener }, stopMonitor: () => { monitor.tell = () => undefined } },
    log: { warn: (event, fields = {}) => { lines.push({ event, ...fields }) } },
    metrics: createStallMetrics(registry)
  })
  stalls.start()
  return { clock, lines, registry, stalls, tell: (milliseconds: number) => monitor.tell(milliseconds) }
}

test('a burst of stalls is logged in few lines that hold its number, sum and longest', async () => {
  const { clock, lines, registry, stalls, tell } = startStalls()
  for (let stall = 0; stall < 50; stall++) {
    tell(stall === 20 ? 900 : 150)
    await clock.advance(50)
  }
  stalls.stop()
  expect(lines.length).toBeLessThanOrEqual(4)
  expect(lines[0]).toEqual({ event: 'event_loop_stalled', milliseconds: 150, stalls: 1, longestMilliseconds: 150 })
  const sumOf = (field: string) => lines.reduce((sum, line) => sum + Number(line[field]), 0)
  expect([sumOf('stalls'), sumOf('milliseconds'), Math.max(...lines.map(line => Number(line.longestMilliseconds)))]).toEqual([50, 49 * 150 + 900, 900])
  expect(await registry.metrics()).toContain('lavenderdoor_event_loop_held_up_seconds_total 8.25')
})

test('a stall that holds nobody up for long is counted and not logged', async () => {
  const { lines, registry, tell } = startStalls()
  tell(60)
  expect(lines).toEqual([])
  expect(await registry.metrics()).toContain('lavenderdoor_event_loop_stall_seconds_count 1')
})
