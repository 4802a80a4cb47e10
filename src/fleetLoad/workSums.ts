/**
 * The sums that a gateway keeps for those that report to it. A report replaces the one before of the same gateway,
 * and lapses if no other follows. Gateways that are reported to exchange their sums, each without what the others
 * told it, so that nothing is counted twice. Time for which this process was held up doesn't count, since what others
 * report meanwhile is read only after it. A gateway that turns to another seed counts twice until its last report
 * at the first one has lapsed.
 */
import { type EndpointWork, type WorkByEndpoint, noWork } from './contract.ts'

/** Reports and sums that are older are dropped. */
export const lapseMilliseconds = 3_000

interface DatedWork {
  readonly work: WorkByEndpoint
  readonly receivedAt: number
  /** For how long the event loop had been held up by then. */
  readonly heldUpBefore: number
}

/** The sums over other gateways, and how old their oldest part is. */
export interface SummedWork {
  readonly work: WorkByEndpoint
  readonly ageMilliseconds: number
}

/**
 * @example
 * sums.recordReport('10.1.0.4:8229', decodeWork(bytes), now)
 * const { work } = sums.withoutGateway('10.1.0.4:8229', now)
 */
export class WorkSums {
  readonly #reports = new Map<string, DatedWork>()
  readonly #sumsOfPeers = new Map<string, DatedWork>()
  /** The sum of the reports. */
  readonly #sum = new Map<number, EndpointWork>()
  readonly #heldUpMilliseconds: () => number

  /** @param heldUpMilliseconds for how long the event loop was held up so far */
  constructor (heldUpMilliseconds: () => number = () => 0) {
    this.#heldUpMilliseconds = heldUpMilliseconds
  }

  /** Whether a gateway has reported lately. */
  hasReports (now: number): boolean {
    this.#dropLapsed(now)
    return this.#reports.size > 0
  }

  recordReport (gateway: string, work: WorkByEndpoint, now: number): void {
    this.#drop(gateway)
    this.#reports.set(gateway, this.#dated(work, now))
    add(this.#sum, work)
  }

  /** Records the sum of the reports at another gateway. */
  recordPeerSum (peer: string, work: WorkByEndpoint, now: number): void {
    this.#sumsOfPeers.set(peer, this.#dated(work, now))
  }

  /** The sum of the reports to this gateway. */
  ownSum (now: number): WorkByEndpoint {
    this.#dropLapsed(now)
    return this.#sum
  }

  /** The work of all gateways but one. */
  withoutGateway (gateway: string, now: number): SummedWork {
    this.#dropLapsed(now)
    const work = new Map(this.#sum)
    const known = this.#reports.get(gateway)
    if (known !== undefined) subtract(work, known.work)
    let ageMilliseconds = 0
    for (const peer of this.#sumsOfPeers.values()) {
      add(work, peer.work)
      ageMilliseconds = Math.max(ageMilliseconds, now - peer.receivedAt)
    }
    return { work, ageMilliseconds }
  }

  #dropLapsed (now: number): void {
    for (const [gateway, report] of this.#reports) if (this.#hasLapsed(report, now)) this.#drop(gateway)
    for (const [peer, sum] of this.#sumsOfPeers) if (this.#hasLapsed(sum, now)) this.#sumsOfPeers.delete(peer)
  }

  #dated (work: WorkByEndpoint, now: number): DatedWork {
    return { work, receivedAt: now, heldUpBefore: this.#heldUpMilliseconds() }
  }

  #hasLapsed ({ receivedAt, heldUpBefore }: DatedWork, now: number): boolean {
    return now - receivedAt - (this.#heldUpMilliseconds() - heldUpBefore) > lapseMilliseconds
  }

  #drop (gateway: string): void {
    const known = this.#reports.get(gateway)
    if (known === undefined) return
    subtract(this.#sum, known.work)
    this.#reports.delete(gateway)
  }
}

function add (sum: Map<number, EndpointWork>, work: WorkByEndpoint): void {
  for (const [key, { runs, workMilliseconds }] of work) {
    const before = sum.get(key) ?? noWork
    sum.set(key, { runs: before.runs + runs, workMilliseconds: before.workMilliseconds + workMilliseconds })
  }
}

function subtract (sum: Map<number, EndpointWork>, work: WorkByEndpoint): void {
  for (const [key, { runs, workMilliseconds }] of work) {
    const before = sum.get(key) ?? noWork
    if (before.runs <= runs) sum.delete(key)
    else sum.set(key, { runs: before.runs - runs, workMilliseconds: before.workMilliseconds - workMilliseconds })
  }
}
