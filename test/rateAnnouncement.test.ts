import { expect, test } from 'vitest'
import { PlatformHeaders } from '../platform/index.ts'

const announcementOf = (value: string | string[] | undefined) => {
  const { rateLimit, error } = new PlatformHeaders().readResponseHead(value === undefined ? {} : { 'server-limit': value })
  return { rateLimit, isError: error !== undefined }
}

test('a response without a limit says that its endpoint has none', () => {
  expect(announcementOf(undefined)).toEqual({ rateLimit: { type: 'unlimited' }, isError: false })
})

test.each([['2.5', 2.5], ['0', 0], ['.5', 0.5], ['12', 12], ['1e2', 100]])('a limit of %s is read as requests a second', (text, requestsPerSecond) => {
  expect(announcementOf(text)).toEqual({ rateLimit: { type: 'limited', requestsPerSecond }, isError: false })
})

test.each(['', ' ', '-1', 'NaN', 'Infinity', 'two', '0x10', '1.2.3', '3 per second'])('a limit of "%s" can not be read, and is an error', text => {
  expect(announcementOf(text)).toEqual({ rateLimit: { type: 'unreadable' }, isError: true })
})

test.each([['1e300'], ['9'.repeat(500)]])('a huge limit is bounded, and is an error', text => {
  expect(announcementOf(text)).toEqual({ rateLimit: { type: 'limited', requestsPerSecond: 1_000_000 }, isError: true })
})

test.each([['4, 2'], [['4', '2']], [['2', 'x']]])('of repeated limits the lowest valid one counts, and the repetition is an error', value => {
  expect(announcementOf(value)).toEqual({ rateLimit: { type: 'limited', requestsPerSecond: 2 }, isError: true })
})
