import fc from 'fast-check'
import { expect, test } from 'vitest'
import { Refusal, RefusalCode, RunState } from '../src/contract/index.ts'
import { type SessionKey, SignedSessionTokens } from '../src/session/index.ts'
import { ManualClock } from './fakes/manualClock.ts'

const lifetimeMilliseconds = 60_000
const oldKey = { name: 'old', secret: 'o'.repeat(32) }
const newKey = { name: 'new', secret: 'n'.repeat(32) }

function createTokens (clock: ManualClock, ...keys: SessionKey[]): SignedSessionTokens {
  return new SignedSessionTokens({ keys: () => keys, clock, lifetimeMilliseconds })
}

function createSession (clock: ManualClock) {
  return { id: 'session-1', organisation: 'harbour', version: 'small@3' as const, issuedAt: clock.now() }
}

function expectRefusal (result: { readonly val: unknown }): Refusal {
  expect(result.val).toBeInstanceOf(Refusal)
  const refusal = result.val as Refusal
  expect(refusal.run).toBe(RunState.NotRun)
  return refusal
}

test('a session token reads at another daemon as it was issued', () => {
  const clock = new ManualClock()
  const token = createTokens(clock, oldKey).issue(createSession(clock)).unwrap()
  expect(createTokens(clock, oldKey).read(token, 'harbour').unwrap()).toEqual(createSession(clock))
})

test('sessions survive a key rotation until the old key is removed', () => {
  const clock = new ManualClock()
  const token = createTokens(clock, oldKey).issue(createSession(clock)).unwrap()
  const bothKeys = createTokens(clock, newKey, oldKey)
  expect(bothKeys.read(token, 'harbour').ok).toBe(true)
  const newToken = bothKeys.issue(createSession(clock)).unwrap()
  expect(createTokens(clock, newKey).read(newToken, 'harbour').ok).toBe(true)
  expect(expectRefusal(createTokens(clock, newKey).read(token, 'harbour')).code).toBe(RefusalCode.InvalidSession)
})

test('a session can not be used by another organisation', () => {
  const clock = new ManualClock()
  const tokens = createTokens(clock, oldKey)
  const token = tokens.issue(createSession(clock)).unwrap()
  expect(expectRefusal(tokens.read(token, 'archive')).code).toBe(RefusalCode.InvalidSession)
})

test('a session expires', async () => {
  const clock = new ManualClock()
  const tokens = createTokens(clock, oldKey)
  const token = tokens.issue(createSession(clock)).unwrap()
  await clock.advance(lifetimeMilliseconds - 1)
  expect(tokens.read(token, 'harbour').ok).toBe(true)
  await clock.advance(1)
  expect(expectRefusal(tokens.read(token, 'harbour')).code).toBe(RefusalCode.InvalidSession)
})

test('a token with a forged version under the original signature is rejected', () => {
  const clock = new ManualClock()
  const tokens = createTokens(clock, oldKey)
  const token = tokens.issue(createSession(clock)).unwrap()
  const fields = JSON.parse(Buffer.from(token.split('.')[0] ?? '', 'base64url').toString())
  fields[4] = 'large@1'
  const forged = `${Buffer.from(JSON.stringify(fields)).toString('base64url')}.${token.split('.')[1]}`
  expect(expectRefusal(tokens.read(forged, 'harbour')).code).toBe(RefusalCode.InvalidSession)
})

test('without a session key no session is issued, and the refusal says that nothing ran', () => {
  const clock = new ManualClock()
  expect(expectRefusal(createTokens(clock).issue(createSession(clock))).retryAfterSeconds).toBeGreaterThan(0)
})

test('a token with characters removed, changed or inserted is rejected', () => {
  const clock = new ManualClock()
  const tokens = createTokens(clock, newKey, oldKey)
  const token = tokens.issue(createSession(clock)).unwrap()
  fc.assert(fc.property(fc.nat(token.length), fc.nat(token.length), fc.string({ maxLength: 4 }), (start, end, inserted) => {
    const changed = token.slice(0, start) + inserted + token.slice(end)
    fc.pre(changed !== token)
    expect(expectRefusal(tokens.read(changed, 'harbour')).code).toBe(RefusalCode.InvalidSession)
  }), { seed: 11, numRuns: 500 })
})

test('a token that is far too long is rejected before it is decoded', () => {
  const clock = new ManualClock()
  expect(expectRefusal(createTokens(clock, oldKey).read('a'.repeat(10_000_000), 'harbour')).code).toBe(RefusalCode.InvalidSession)
})
