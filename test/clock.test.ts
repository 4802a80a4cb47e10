import { expect, test } from 'vitest'
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
