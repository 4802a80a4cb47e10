/** What is in force now. A request reads one snapshot when it arrives and keeps to it. */
import { RouteTable, type RoutingSettings } from '../routing/index.ts'

/** One version of the settings with its routes ready for look-ups. */
export interface RoutingSnapshot {
  readonly settings: RoutingSettings
  readonly routes: RouteTable
}

/** The settings in force; they only move to a higher version. */
export class RoutingView {
  #snapshot: RoutingSnapshot | undefined

  /** Undefined before the first settings are known. */
  get snapshot (): RoutingSnapshot | undefined {
    return this.#snapshot
  }

  /**
   * Puts settings in force.
   *
   * @returns whether they are newer than those in force
   */
  install (settings: RoutingSettings): boolean {
    const current = this.#snapshot
    if (current !== undefined && settings.version <= current.settings.version) return false
    this.#snapshot = { settings, routes: new RouteTable(settings.routes) }
    return true
  }
}
