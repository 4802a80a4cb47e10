/**
 * A session token consists of a payload and its HMAC-SHA256, both base64url-encoded and joined by a
 * dot. The payload is a JSON array that starts with a format version and the signing key's name, so
 * verification tries only one key. Nothing is stored: any daemon with the settings can verify any
 * token, even during a platform outage, and a token outlives the daemon that issued it. A rotation
 * puts the new key first and keeps the old one until its last token has expired.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import * as z from 'zod'
import { type Clock, Err, Ok, Refusal, RefusalCode, type Result, RunState, type VersionName } from '../contract/index.ts'
import type { Session, SessionKey, SessionTokens } from './contract.ts'

const formatVersion = 1

/** Longer tokens are refused before they are decoded. */
const maximumTokenCharacters = 2_048

/** Seconds after which the settings are expected to hold a key. */
const missingKeyRetryAfterSeconds = 5

const payloadSchema = z.tuple([
  z.literal(formatVersion),
  z.string(),
  z.string(),
  z.string(),
  z.custom<VersionName>(value => typeof value === 'string' && value.includes('@')),
  z.number()
])

export interface SignedSessionTokensOptions {
  /** Returns the valid keys, the signing key first; called on each use. */
  readonly keys: () => readonly SessionKey[]
  readonly clock: Clock
  /** Milliseconds from issue to expiry. */
  readonly lifetimeMilliseconds: number
}

/**
 * Issues and verifies tokens that carry their session.
 *
 * @example
 * const tokens = new SignedSessionTokens({ keys: () => view.sessionKeys, clock, lifetimeMilliseconds: 86_400_000 })
 */
export class SignedSessionTokens implements SessionTokens {
  readonly #options: SignedSessionTokensOptions

  constructor (options: SignedSessionTokensOptions) {
    this.#options = options
  }

  issue (session: Session): Result<string, Refusal> {
    const key = this.#options.keys()[0]
    if (key === undefined) {
      return Err(new Refusal(RefusalCode.NoEndpoint, RunState.NotRun, 'no session can be opened: the settings hold no session key', missingKeyRetryAfterSeconds))
    }
    const fields = [formatVersion, key.name, session.id, session.organisation, session.version, session.issuedAt]
    const payload = Buffer.from(JSON.stringify(fields)).toString('base64url')
    return Ok(`${payload}.${signatureOf(payload, key).toString('base64url')}`)
  }

  read (token: string, organisation: string): Result<Session, Refusal> {
    if (token.length > maximumTokenCharacters) return invalidSession('the session token is too long')
    const [payload, signature, ...rest] = token.split('.')
    if (payload === undefined || signature === undefined || rest.length > 0) return invalidSession('the session token is malformed')
    const fields = parsePayload(payload)
    if (fields === undefined) return invalidSession('the session token is malformed')
    const [, keyName, id, owner, version, issuedAt] = fields
    const key = this.#options.keys().find(candidate => candidate.name === keyName)
    if (key === undefined) return invalidSession('the session token is signed by a key that is not in force')
    if (!isValidSignature(signature, payload, key)) return invalidSession('the session token has a wrong signature')
    if (owner !== organisation) return invalidSession('the session belongs to another organisation')
    if (this.#options.clock.now() >= issuedAt + this.#options.lifetimeMilliseconds) return invalidSession('the session has expired')
    return Ok({ id, organisation: owner, version, issuedAt })
  }
}

function signatureOf (payload: string, key: SessionKey): Buffer {
  return createHmac('sha256', key.secret).update(payload).digest()
}

/** Compares in constant time and accepts only the canonical base64url encoding. */
function isValidSignature (text: string, payload: string, key: SessionKey): boolean {
  const given = Buffer.from(text, 'base64url')
  const expected = signatureOf(payload, key)
  if (given.length !== expected.length) return false
  return timingSafeEqual(given, expected) && given.toString('base64url') === text
}

function parsePayload (payload: string): z.infer<typeof payloadSchema> | undefined {
  const parsed = payloadSchema.safeParse(parseJson(Buffer.from(payload, 'base64url').toString('utf8')))
  return parsed.success ? parsed.data : undefined
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function invalidSession (message: string): Result<Session, Refusal> {
  return Err(new Refusal(RefusalCode.InvalidSession, RunState.NotRun, message))
}
