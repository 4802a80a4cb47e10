import { expect, test, vi } from 'vitest'
import { SecondHeadScanner } from '../src/endpoint/secondHeadScanner.ts'

const secondHead = 'HTTP/1.1 200 OK\r\nserver: e\r\nattempt-id: a-1\r\n'
const none = Buffer.alloc(0)

/** Whether a second head is found in a body that arrives in parts of one size, followed by further bytes. */
function isFound (body: string, partBytes: number, behind = ''): boolean {
  const scanner = new SecondHeadScanner('a-1')
  for (let start = 0; start < body.length; start += partBytes) {
    if (scanner.push(Buffer.from(body.slice(start, start + partBytes)))) return true
  }
  return scanner.end(Buffer.from(behind))
}

test.each([1, 2, 7, 1_000])('a second head is found wherever it begins, in parts of %d bytes', partBytes => {
  for (const before of ['', 'H', 'HTTP/1.', 'HTTP/1.1 200 O', 'HTTP/1.1 404 Not Found\r\nx: y\r\n', 'HTTP/1.1 200 OK\r\n\r\n', 'a body']) expect(isFound(before + secondHead, partBytes)).toBe(true)
})

test.each([1, 1_000])('a body that shows a head, but not one of its own attempt, is whole, in parts of %d bytes', partBytes => {
  const bodies = ['HTTP/1.1 200', 'GET / HTTP/1.1\r\nattempt-id: a-1\r\n\r\n', 'HTTP/1.1 200 OK\r\nattempt-id: a-2\r\n\r\n', 'HTTP/1.1 200 OK\r\nx: a-1, a-2\r\n\r\nattempt-id: a-1\r\n', 'attempt-id: a-1\r\n', 'a line, HTTP/1.1 200 OK\nattempt-id: a-1\n', 'H']
  for (const body of bodies) expect(isFound(body, partBytes)).toBe(false)
})

test('a second head is found that begins in the body and ends behind it, wherever the body ends', () => {
  for (let end = 1; end < secondHead.length; end++) expect(isFound(`a body${secondHead.slice(0, end)}`, 1_000, secondHead.slice(end))).toBe(true)
  expect(isFound('a body', 1_000, secondHead)).toBe(false)
  expect(isFound('a body: H', 1_000, secondHead)).toBe(false)
})

test('a body that ends inside a head is not whole, even if nothing is known of what follows', () => {
  expect(isFound('a bodyHTTP/1.1 200 OK\r\nserv', 1_000)).toBe(true)
})

test('a status line without an end is held no longer than a head may be', () => {
  const scanner = new SecondHeadScanner('a-1')
  scanner.push(Buffer.from(`HTTP/1.1 200 ${'x'.repeat(20_000)}`))
  expect(scanner.push(Buffer.from('\r\nattempt-id: a-1\r\n'))).toBe(false)
  expect(scanner.end(none)).toBe(false)
})

test('a body that shows status lines in every header of a head is read once, and not again for each of them', () => {
  const body = 'a: HTTP/1.1 200 \r\n'.repeat(1_000)
  const slice = vi.spyOn(String.prototype, 'slice')
  expect(isFound(body, 4_096)).toBe(true)
  const sliced = slice.mock.results.reduce((sum, { value }) => sum + (value as string).length, 0)
  slice.mockRestore()
  expect(sliced).toBeLessThan(10 * body.length)
})

test.each([
  ['lines of an access log', '"GET / HTTP/1.1" 200\n'],
  ['status lines', 'HTTP/1.1 200 '],
  ['status lines inside of headers', 'HTTP/1.1 200\r\na: HTTP/1.1 200\r\nb: ']
])('a long body of %s is read in few steps', (_name, text) => {
  const indexOf = vi.spyOn(String.prototype, 'indexOf')
  const scanner = new SecondHeadScanner('a-1')
  for (let count = 0; count < 4; count++) scanner.push(Buffer.from(text.repeat(Math.ceil(65_536 / text.length))))
  const { length } = indexOf.mock.calls
  indexOf.mockRestore()
  expect(length).toBeLessThan(100_000)
})
