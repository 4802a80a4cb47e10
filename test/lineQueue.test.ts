import { expect, test } from 'vitest'
import { LineQueue } from '../src/observe/index.ts'

test('a reader that never reads takes bounded memory and does not block writers, and dropped lines are counted', () => {
  const writtenSizes: number[] = []
  const lines = new LineQueue(bytes => { writtenSizes.push(bytes.length) })
  const line = `${'x'.repeat(999)}\n`
  for (let index = 0; index < 5_000; index++) lines.push(line)
  expect(lines.droppedCount).toBeGreaterThan(4_000)
  expect(writtenSizes).toHaveLength(0)
})

test('lines are written in order, followed by a record of how many were dropped', async () => {
  let text = ''
  let completeWrite: ((error: Error | null) => void) | undefined
  const lines = new LineQueue((bytes, done) => {
    text += bytes.toString()
    completeWrite = done
  })
  lines.push('first\n')
  const flushing = lines.flush(1_000)
  for (let index = 0; index < 700; index++) lines.push(`${'y'.repeat(999)}\n`)
  lines.push(`${'never'.repeat(200)}\n`)
  completeWrite?.(null)
  completeWrite?.(null)
  await flushing
  expect(text.startsWith('first\n')).toBe(true)
  expect(text).toContain('log_lines_dropped')
  expect(text).not.toContain('never')
})

test('all lines of a batch whose write fails are counted as dropped', async () => {
  const lines = new LineQueue((_bytes, done) => done(new Error('broken pipe')))
  for (let index = 0; index < 40; index++) lines.push('line\n')
  await lines.flush(1_000)
  expect(lines.droppedCount).toBe(40)
})
