/**
 * The settings installed at one daemon. Each team's subtree is stored with the revision of its last
 * change, so another daemon lacks exactly the subtrees that are newer than its own revision. There is no
 * log that could have gaps, and duplicate or reordered updates have no effect.
 */
import { invariant } from '../contract/index.ts'
import { SettingsView } from '../settings/index.ts'
import type { TeamSettings } from './contract.ts'

/** The subtrees that bring a daemon from an earlier revision to this one. */
export interface SettingsDelta {
  readonly revision: number
  readonly teams: Iterable<readonly [string, TeamSettings]>
}

export class InstalledSettings {
  readonly #listeners = new Set<(view: SettingsView) => void>()
  #view = SettingsView.empty()
  #teams: ReadonlyMap<string, TeamSettings> = new Map()

  get view (): SettingsView {
    return this.#view
  }

  get revision (): number {
    return this.#view.revision
  }

  /**
   * Installs the subtrees that are newer than those in force. A delta computed for an earlier revision
   * than this daemon's is equally valid, since it contains everything that changed since then.
   *
   * @returns false if the subtrees do not combine into a valid view; the current view then stays in force
   */
  install (delta: SettingsDelta): boolean {
    if (delta.revision <= this.revision) return true
    const teams = new Map(this.#teams)
    for (const [team, settings] of delta.teams) {
      if (settings.revision > (teams.get(team)?.revision ?? 0)) teams.set(team, settings)
    }
    const next = SettingsView.of(delta.revision, new Map([...teams].map(([team, { subtree }]) => [team, subtree])))
    if (next.err) return false
    invariant(next.val.revision > this.revision, 'settings revision never decreases', () => ({ held: this.revision, next: next.val.revision }))
    this.#teams = teams
    this.#view = next.val
    for (const listener of this.#listeners) listener(next.val)
    return true
  }

  /** The subtrees that changed after a revision. */
  changedSince (revision: number): Record<string, TeamSettings> {
    return Object.fromEntries([...this.#teams].filter(([, settings]) => settings.revision > revision))
  }

  onChange (listener: (view: SettingsView) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }
}
