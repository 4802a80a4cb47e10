/** The routing settings in force. A request takes one snapshot when it arrives and uses it throughout. */
import { RouteTable, type RoutingSettings } from '../routing/index.ts'

/** One version of the settings with its route table. */
export interface RoutingSnapshot {
  readonly settings: RoutingSettings
  readonly routes: RouteTable
}

/** Holds the settings in force; their version only increases. */
export class RoutingView {
  #snapshot: RoutingSnapshot | undefined

  /** Undefined before the first settings are known. */
  get snapshot (): RoutingSnapshot | undefined {
    return this.#snapshot
  }

  /**
   * Applies settings.
   *
   * @returns whether they were newer than those in force
   */
  install (settings: RoutingSettings): boolean {
    const current = this.#snapshot
    if (current !== undefined && settings.version <= current.settings.version) return false
    this.#snapshot = { settings, routes: new RouteTable(settings.routes) }
    return true
  }
}
