import fastCheck from 'fast-check'
import { afterEach, expect, test, vi } from 'vitest'
import { EventSplitter } from '../src/gateway/eventSplitter.ts'

afterEach(() => { vi.restoreAllMocks() })

const push = (splitter: EventSplitter, bytes: string) => splitter.push(Buffer.from(bytes, 'utf8'))

test('only complete events are emitted, and the rest waits for its end', () => {
  const splitter = new EventSplitter()
  expect(push(splitter, 'id: 1\ndata: a\n')).toBeUndefined()
  expect(splitter.pendingBytes).toBe(14)
  expect(push(splitter, '\nid: 2\nda')).toEqual({ text: 'id: 1\ndata: a\n\n', count: 1, ids: ['1'] })
  expect(push(splitter, 'ta: b\n\ndata: c\n\n: rest')).toEqual({ text: 'id: 2\ndata: b\n\ndata: c\n\n', count: 2, ids: ['2'] })
  expect(splitter.pendingBytes).toBe(6)
})

test('events whose lines end with carriage return and line feed are split, and their ids have neither', () => {
  const splitter = new EventSplitter()
  expect(push(splitter, 'id: 7\r\ndata: a\r\n\r')).toBeUndefined()
  expect(push(splitter, '\ndata: b\r\n\r\n')).toEqual({ text: 'id: 7\r\ndata: a\r\n\r\ndata: b\r\n\r\n', count: 2, ids: ['7'] })
})

test('an id counts only at the start of a line', () => {
  expect(push(new EventSplitter(), 'data: id: 3\nvoid: 4\n\n')?.ids).toEqual([])
})

test('bytes that are split within a character leave as they came', () => {
  const bytes = Buffer.from('data: 東京\n\n', 'utf8')
  const splitter = new EventSplitter()
  expect(splitter.push(bytes.subarray(0, 8))).toBeUndefined()
  expect(Buffer.from(splitter.push(bytes.subarray(8))?.text ?? '', 'latin1')).toEqual(bytes)
})

test('however bytes are split, what leaves ends at the last blank line so far, and nothing is lost', () => {
  const pieces = fastCheck.array(fastCheck.string({ unit: fastCheck.constantFrom('\n', '\r', 'id: 1', 'data: a'), maxLength: 6 }), { maxLength: 12 })
  fastCheck.assert(fastCheck.property(pieces, pieces => {
    const splitter = new EventSplitter()
    let pending = ''
    for (const piece of pieces) {
      pending += piece
      const complete = /^[^]*\n\r?\n/.exec(pending)?.[0]
      pending = pending.slice(complete?.length ?? 0)
      expect(push(splitter, piece)?.text).toBe(complete)
      expect(splitter.pendingBytes).toBe(pending.length)
    }
  }), { seed: 27, numRuns: 2_000 })
})

test('a long event that comes in small pieces is searched once, and not once for each of them', () => {
  const [pieceBytes, pieces] = [1_024, 1_024]
  const searches = vi.spyOn(String.prototype, 'lastIndexOf')
  const splitter = new EventSplitter()
  for (let piece = 0; piece < pieces; piece++) push(splitter, 'a'.repeat(pieceBytes))
  const searched = searches.mock.contexts.reduce<number>((sum, text) => sum + String(text).length, 0)
  vi.restoreAllMocks()
  expect(searched).toBeGreaterThan(0)
  expect(searched).toBeLessThan(4 * pieceBytes * pieces)
})
