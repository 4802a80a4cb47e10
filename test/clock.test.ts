import { afterEach, expect, test, vi } from 'vitest'
import { SystemClock } from '../src/contract/index.ts'

test('a wait longer than a timer can hold does not end at once', async () => {
  const clock = new SystemClock()
  const stopping = new AbortController()
  let ended = 0
  const wait = clock.sleep(1e300, stopping.signal).then(() => { ended++ })
  const cancel = clock.schedule(1e12, () => { ended++ })
  await clock.sleep(50)
  expect(ended).toBe(0)
  cancel()
  stopping.abort()
  await wait
})

afterEach(() => { vi.useRealTimers() })

test.each([-3_600_000, 3_600_000])('a jump of the time of day by %i ms moves neither the clock nor its waits', async jumpMilliseconds => {
  const clock = new SystemClock()
  const before = clock.now()
  vi.useFakeTimers({ toFake: ['Date'], now: Date.now() + jumpMilliseconds })
  await clock.sleep(20)
  expect(clock.now() - before).toBeGreaterThan(10)
  expect(clock.now() - before).toBeLessThan(5_000)
})

test('a wait for input that ends at a deadline never ends before it', async () => {
  const clock = new SystemClock()
  const early: number[] = []
  await Promise.all(Array.from({ length: 500 }, async (_, index) => {
    await clock.sleep(index / 7)
    const deadline = clock.now() + 5 + index / 500
    await new Promise<void>(resolve => clock.scheduleAfterInput(deadline - clock.now(), resolve))
    if (clock.now() < deadline) early.push(deadline - clock.now())
  }))
  expect(early).toEqual([])
})
