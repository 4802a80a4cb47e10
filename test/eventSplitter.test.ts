import { expect, test } from 'vitest'
import { EventSplitter } from '../src/gateway/eventSplitter.ts'

const push = (splitter: EventSplitter, bytes: string) => splitter.push(Buffer.from(bytes, 'utf8'))

test('only complete events are emitted, and the rest waits for its end', () => {
  const splitter = new EventSplitter()
  expect(push(splitter, 'id: 1\ndata: a\n')).toBeUndefined()
  expect(splitter.pendingBytes).toBe(14)
  expect(push(splitter, '\nid: 2\nda')).toEqual({ text: 'id: 1\ndata: a\n\n', count: 1, lastEventId: '1' })
  expect(push(splitter, 'ta: b\n\ndata: c\n\n: rest')).toEqual({ text: 'id: 2\ndata: b\n\ndata: c\n\n', count: 2, lastEventId: '2' })
  expect(splitter.pendingBytes).toBe(6)
})

test('events whose lines end with carriage return and line feed are split, and their ids have neither', () => {
  const splitter = new EventSplitter()
  expect(push(splitter, 'id: 7\r\ndata: a\r\n\r')).toBeUndefined()
  expect(push(splitter, '\ndata: b\r\n\r\n')).toEqual({ text: 'id: 7\r\ndata: a\r\n\r\ndata: b\r\n\r\n', count: 2, lastEventId: '7' })
})

test('an id counts only at the start of a line', () => {
  expect(push(new EventSplitter(), 'data: id: 3\nvoid: 4\n\n')?.lastEventId).toBeUndefined()
})

test('bytes that are split within a character leave as they came', () => {
  const bytes = Buffer.from('data: 東京\n\n', 'utf8')
  const splitter = new EventSplitter()
  expect(splitter.push(bytes.subarray(0, 8))).toBeUndefined()
  expect(Buffer.from(splitter.push(bytes.subarray(8))?.text ?? '', 'latin1')).toEqual(bytes)
})
