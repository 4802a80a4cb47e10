import { expect, test } from 'vitest'
import { decodeEndpoint } from '../platform/index.ts'
import { endpointDocument } from '../platform/standin/index.ts'

function decode (overrides: Record<string, unknown>) {
  return decodeEndpoint('i-1', new TextEncoder().encode(JSON.stringify(endpointDocument('engines', '10.0.0.1:80', overrides))), new Map([['coast-1', 'coast']])).unwrap()
}

test('the slots of an endpoint are read from its row', () => {
  expect(decode({ slots: 12 }).slots).toBe(12)
})

test.each([0, -3, 1.5, 'many', null, undefined])('an endpoint with the unusable slots %s is still known, and counts as if it had not said', slots => {
  expect(decode({ slots }).identity).toBe('i-1')
  expect(decode({ slots }).slots).toBeUndefined()
})

test('the heartbeat of an endpoint is read from its row', () => {
  expect(decode({ seq_no: 41 }).heartbeat).toBe(41)
})
