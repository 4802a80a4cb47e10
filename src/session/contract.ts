/** Sessions keep their version: a token that a daemon signs carries it, so that no store is needed. */
import type { Refusal, Result, VersionName } from '../contract/index.ts'

/** What a session's token says. */
export interface Session {
  readonly id: string
  readonly organisation: string
  readonly version: VersionName
  /** Milliseconds since the epoch. */
  readonly issuedAt: number
}

/** A key that signs sessions; two are valid at once during a rotation. */
export interface SessionKey {
  readonly name: string
  /** Secret text; at least 32 characters. */
  readonly secret: string
}

/** Issues and reads tokens. */
export interface SessionTokens {
  /**
   * Signs a token with the first key.
   *
   * @returns a refusal with run `not_run` where the settings in force hold no key
   * @example
   * const token = tokens.issue({ id, organisation: 'harbour', version: 'small@3', issuedAt: clock.now() })
   */
  issue (session: Session): Result<string, Refusal>
  /**
   * Reads a token.
   *
   * @returns `RefusalCode.InvalidSession` with run `not_run` for a forged, expired or another organisation's token
   * @example
   * const session = tokens.read(header, 'harbour')
   */
  read (token: string, organisation: string): Result<Session, Refusal>
}
