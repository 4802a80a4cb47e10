/**
 * Tracks which revision each daemon has in force, as daemons report it with every settings request.
 * A daemon that has not confirmed a revision holds a lease that rests on a store read from before the
 * revision was accepted. Once the lease duration has passed since then, that lease has expired.
 */
import type { Confirmation } from './schemas.ts'

/** How far a revision has propagated. */
export interface PropagationReport {
  readonly revision: number
  /** Daemons that have this or a later revision in force. */
  readonly confirmed: readonly string[]
  /** Daemons whose lease has expired. */
  readonly lapsed: readonly string[]
  /** Daemons that may still act on an earlier revision. */
  readonly pending: readonly string[]
}

interface RevisionConfirmation {
  readonly revision: number
  readonly at: number
}

/** Confirmations of a daemon that has stopped sending requests are dropped after this time, in milliseconds. */
const confirmationRetentionMilliseconds = 60_000

export class ConfirmationTracker {
  readonly #byDaemon = new Map<string, RevisionConfirmation>()

  record (name: string, revision: number, now: number): void {
    this.#byDaemon.set(name, { revision, at: now })
  }

  list (now: number): Confirmation[] {
    for (const [name, confirmation] of this.#byDaemon) {
      if (now - confirmation.at > confirmationRetentionMilliseconds) this.#byDaemon.delete(name)
    }
    return [...this.#byDaemon].map(([name, { revision, at }]) => ({ name, revision, age: now - at }))
  }
}

/**
 * Merges the confirmations that several daemons received into a report.
 *
 * @param members the live daemons
 * @param leaseMilliseconds how long a daemon may act on settings without a new confirmation
 * @example
 * const report = reportPropagation(42, members, confirmations, 3_000)
 */
export function reportPropagation (revision: number, members: readonly string[], confirmations: readonly Confirmation[], leaseMilliseconds: number): PropagationReport {
  const latest = new Map<string, Confirmation>()
  for (const confirmation of confirmations) {
    const known = latest.get(confirmation.name)
    if (known === undefined || isNewer(confirmation, known)) latest.set(confirmation.name, confirmation)
  }
  const confirmed = members.filter(name => (latest.get(name)?.revision ?? 0) >= revision)
  const others = members.filter(name => !confirmed.includes(name))
  const lapsed = others.filter(name => (latest.get(name)?.age ?? 0) > leaseMilliseconds)
  return { revision, confirmed, lapsed, pending: others.filter(name => !lapsed.includes(name)) }
}

function isNewer (left: Confirmation, right: Confirmation): boolean {
  return left.revision > right.revision || (left.revision === right.revision && left.age < right.age)
}
