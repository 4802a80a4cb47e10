import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { readBootFile } from '../platform/index.ts'
import { bootDocument } from '../platform/standin/index.ts'

let directory: string
beforeEach(async () => { directory = await mkdtemp(join(tmpdir(), 'lavenderdoor-boot-')) })
afterEach(() => rm(directory, { recursive: true }))

async function readWith (bounds: Record<string, number>) {
  const path = join(directory, 'boot.json')
  const document = bootDocument('edge-1', '127.0.0.1', '127.0.0.1:1', [], 2)
  await writeFile(path, JSON.stringify({ ...document, bounds: { grace_s: 2, ...bounds } }))
  return await readBootFile(path)
}

test('all three figures of the retry budget are read from the boot file', async () => {
  const boot = (await readWith({ retry_ratio: 0.4, retry_window_s: 5, retry_slack: 222 })).unwrap()
  expect(boot.retryLimits).toEqual({ ratio: 0.4, windowMilliseconds: 5_000, slack: 222 })
})

test('a boot file that leaves the retry budget open allows a tenth of the requests and ten more in ten seconds', async () => {
  expect((await readWith({})).unwrap().retryLimits).toEqual({ ratio: 0.1, windowMilliseconds: 10_000, slack: 10 })
})

test.each([['retry_ratio', -1], ['retry_window_s', 0], ['retry_slack', -1]])('a boot file whose %s is %i is refused with the name of the figure', async (name, value) => {
  const result = await readWith({ [name]: value })
  expect(result.err && result.val).toContain(`bounds.${name}`)
})

test.each([
  [{ config_apply_ms: 4_000, drain_ms: 2_500 }, 2_500],
  [{ config_apply_ms: 2_500, drain_ms: 4_000 }, 2_500],
  [{ config_apply_ms: 4_000 }, 4_000]
])('news of the store is followed so closely that neither new settings nor an endpoint that leaves is noticed too late (%o)', async (bounds, milliseconds) => {
  expect((await readWith(bounds)).unwrap().changeApplyTimeoutMilliseconds).toBe(milliseconds)
})
