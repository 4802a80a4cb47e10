/** Sessions keep their version in a signed token, so that no store is needed. */
import type { Refusal, Result, VersionName } from '../contract/index.ts'

/** Content of a session token. */
export interface Session {
  readonly id: string
  readonly organisation: string
  readonly version: VersionName
  /** Milliseconds since the epoch. */
  readonly issuedAt: number
}

/** A signing key; two are valid at the same time during a rotation. */
export interface SessionKey {
  readonly name: string
  /** At least 32 characters. */
  readonly secret: string
}

/** Issues and verifies session tokens. */
export interface SessionTokens {
  /**
   * Signs a token with the first key.
   *
   * @returns a refusal with run `not_run` if the current settings hold no key
   * @example
   * const token = tokens.issue({ id, organisation: 'harbour', version: 'small@3', issuedAt: clock.now() })
   */
  issue (session: Session): Result<string, Refusal>
  /**
   * Verifies a token and returns its session.
   *
   * @returns `RefusalCode.InvalidSession` with run `not_run` if the token is forged, expired or belongs to another organisation
   * @example
   * const session = tokens.read(header, 'harbour')
   */
  read (token: string, organisation: string): Result<Session, Refusal>
}
