/** Interfaces for reading, changing and following the operators' settings. */
import type { Result } from '../contract/index.ts'
import type { Fault, SettingsView, Subtree } from '../settings/index.ts'

/** Whether a daemon may treat its settings as the latest. */
export const SettingsLease = {
  /** Within the lease duration, some source confirmed that no later revision was in force. */
  Held: 'held',
  /** The daemon is cut off: it serves settled versions, but versions under roll-out take no new sessions. */
  Lapsed: 'lapsed'
} as const
export type SettingsLease = typeof SettingsLease[keyof typeof SettingsLease]

/** The settings in force at one daemon. */
export interface SettingsSource {
  /** The view in force at this daemon; its revision never decreases. */
  readonly view: SettingsView
  readonly lease: SettingsLease
  /**
   * Calls the listener with each new view once it is in force.
   *
   * @returns a function that removes the listener
   */
  onChange (listener: (view: SettingsView) => void): () => void
}

/** A team's subtree and the global revision of its last change. */
export interface TeamSettings {
  readonly revision: number
  readonly subtree: Subtree
}

/** All teams' settings at one revision. */
export interface SettingsSnapshot {
  readonly revision: number
  readonly teams: ReadonlyMap<string, TeamSettings>
}

/** A change was rejected because the team's subtree had been changed in the meantime. */
export class SettingsConflict {
  /** The current revision of the team's subtree. */
  readonly revision: number
  readonly current: Subtree

  constructor (revision: number, current: Subtree) {
    this.revision = revision
    this.current = current
  }
}

/** One accepted change. */
export interface SettingsChange {
  readonly revision: number
  readonly team: string
  readonly author: string
  /** Milliseconds since the epoch. */
  readonly at: number
  /** Identifies the write, so that after a lost reply its outcome can be determined by reading it back. */
  readonly nonce: string
  readonly subtree: Subtree
}

/** Why a change was not accepted. */
export type SettingsRejection =
  | { readonly reason: 'faults', readonly faults: readonly Fault[] }
  | { readonly reason: 'conflict', readonly conflict: SettingsConflict }
  | { readonly reason: 'unavailable', readonly mayHaveApplied: boolean }

/** The operators' settings in the table service. */
export interface SettingsRepository {
  /** Reads a team's subtree and its revision; revision 0 where the team has none. */
  read (team: string): Promise<Result<{ readonly revision: number, readonly subtree: Subtree | undefined }, SettingsRejection>>
  /**
   * Replaces a team's subtree if its revision is still `expected`.
   *
   * @returns the new global revision
   * @example
   * const accepted = await repository.put('fleet', subtree, { expected: 41, author: 'ines' })
   */
  put (team: string, subtree: Subtree, options: { readonly expected: number, readonly author: string }): Promise<Result<number, SettingsRejection>>
  /** The latest global revision. */
  revision (): Promise<Result<number, SettingsRejection>>
  /** Changes after a revision, oldest first. */
  changesAfter (revision: number, limit: number): Promise<Result<readonly SettingsChange[], SettingsRejection>>
  /** All teams' settings, consistent at one revision. */
  snapshot (): Promise<Result<SettingsSnapshot, SettingsRejection>>
}
