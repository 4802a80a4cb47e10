/** What this daemon knows of roll-outs: orders, their status, and what speaks against new versions. */
import { knownOrMade } from '../contract/index.ts'
import { EvidenceKeeper, type VersionSplit, VersionSuspicion, isBad } from '../placing/index.ts'
import { type RollOutEvidence, type RollOutOrder, type RollOutPins, RollOutState, type RollOutStatus } from '../routing/index.ts'

/** A status and the version of its row. */
export interface VersionedStatus {
  readonly status: RollOutStatus
  readonly rowVersion: number
}

/** An answer as it is observed at an endpoint. */
export interface ObservedAnswer {
  readonly likeness: string
  readonly failed: boolean
  readonly milliseconds: number | undefined
}

const noSessions: ReadonlySet<string> = new Set()

/** The roll-outs of all services. */
export class RollOutView {
  readonly #observer: string
  readonly #storeTime: () => number | undefined
  #orders: ReadonlyMap<string, RollOutOrder> = new Map()
  #statuses: ReadonlyMap<string, VersionedStatus> = new Map()
  #evidence: readonly RollOutEvidence[] = []
  #pinned: ReadonlyMap<string, ReadonlySet<string>> = new Map()
  readonly #keepers = new Map<string, EvidenceKeeper>()
  readonly #suspicions = new Map<string, VersionSuspicion>()

  /**
   * @param observer this daemon's name
   * @param storeTime the store's steady clock
   */
  constructor (observer: string, storeTime: () => number | undefined) {
    this.#observer = observer
    this.#storeTime = storeTime
  }

  get orders (): readonly RollOutOrder[] {
    return [...this.#orders.values()]
  }

  installOrders (orders: readonly RollOutOrder[]): void {
    this.#orders = new Map(orders.map(order => [order.service, order]))
  }

  installStatuses (statuses: readonly VersionedStatus[], evidence: readonly RollOutEvidence[], pins: readonly RollOutPins[]): void {
    this.#statuses = new Map(statuses.map(entry => [entry.status.service, entry]))
    this.#evidence = evidence
    this.#pinned = pinnedSessions(pins)
  }

  /** The status row of a service, whatever order it belongs to. */
  rowOf (service: string): VersionedStatus | undefined {
    return this.#statuses.get(service)
  }

  /** The status of an order; undefined where none is written for it. */
  statusOf (order: RollOutOrder): RollOutStatus | undefined {
    const status = this.#statuses.get(order.service)?.status
    return status?.toVersion === order.toVersion ? status : undefined
  }

  /** Whether an order stands that is neither complete nor reverted. */
  get isUnderWay (): boolean {
    return this.orders.some(order => {
      const state = this.statusOf(order)?.state
      return state === undefined || state === RollOutState.Running
    })
  }

  /** The part of a roll-out's duration that has passed; undefined before its start is known. */
  progressOf (order: RollOutOrder): number | undefined {
    const startedAt = this.statusOf(order)?.startedAt
    const now = this.#storeTime()
    if (startedAt === undefined || now === undefined) return undefined
    return (now - startedAt) / order.durationMilliseconds
  }

  /** How a service's endpoints are split by version; undefined where no roll-out was ordered. */
  splitOf (service: string): VersionSplit | undefined {
    const order = this.#orders.get(service)
    if (order === undefined) return undefined
    const { toVersion } = order
    return { toVersion, progress: this.#splitProgress(order), pinned: this.#pinned.get(rollOutKey(order)) ?? noSessions }
  }

  /** Takes in an answer while a roll-out of its service runs. */
  observe (service: string, version: string, answer: ObservedAnswer): void {
    const order = this.#orders.get(service)
    if (order === undefined) return
    this.#keeperOf(order).observe({ ...answer, isNew: version === order.toVersion })
  }

  /** What this daemon has seen of an order's new version. */
  ownEvidence (order: RollOutOrder): RollOutEvidence {
    return { service: order.service, toVersion: order.toVersion, observer: this.#observer, ...this.#keeperOf(order).ofNew }
  }

  /** Looks at the evidence of all daemons anew. */
  review (order: RollOutOrder): void {
    const now = this.#storeTime()
    if (now !== undefined) this.#suspicionOf(order).review(this.#isBad(order), now)
  }

  /** Whether all daemons should tell what they saw of an order's version. */
  isSuspected (order: RollOutOrder): boolean {
    return this.#suspicionOf(order).isHeld
  }

  /** Whether the evidence of all daemons speaks against an order's version. */
  speaksAgainst (order: RollOutOrder): boolean {
    const now = this.#storeTime()
    return now !== undefined && this.#suspicionOf(order).isConfirmed(now)
  }

  #isBad (order: RollOutOrder): boolean {
    const others = this.#evidence.filter(({ service, toVersion, observer }) =>
      service === order.service && toVersion === order.toVersion && observer !== this.#observer)
    return isBad([this.ownEvidence(order), ...others], this.#keeperOf(order).ofOld)
  }

  #splitProgress (order: RollOutOrder): number | undefined {
    const state = this.statusOf(order)?.state
    if (state === RollOutState.Complete) return 1
    if (state === RollOutState.Reverted || this.speaksAgainst(order)) return undefined
    return this.progressOf(order)
  }

  #keeperOf (order: RollOutOrder): EvidenceKeeper {
    return knownOrMade(this.#keepers, rollOutKey(order), () => new EvidenceKeeper())
  }

  #suspicionOf (order: RollOutOrder): VersionSuspicion {
    return knownOrMade(this.#suspicions, rollOutKey(order), () => new VersionSuspicion())
  }
}

/** Tells one roll-out of a service from another. */
export function rollOutKey ({ service, toVersion }: Pick<RollOutOrder, 'service' | 'toVersion'>): string {
  return `${service}\n${toVersion}`
}

function pinnedSessions (pins: readonly RollOutPins[]): ReadonlyMap<string, ReadonlySet<string>> {
  const all = new Map<string, Set<string>>()
  for (const pin of pins) {
    const key = rollOutKey(pin)
    all.set(key, new Set([...all.get(key) ?? [], ...pin.sessions]))
  }
  return all
}
