/**
 * Reports this gateway to the seeds and learns from them which others there are. A list that has not changed is
 * not sent again, so that a seed of a large fleet sends little.
 */
import * as z from 'zod'
import type { Clock } from '../contract/index.ts'
import type { Link, MessageType } from '../link/index.ts'
import type { Log } from '../observe/index.ts'
import { type FleetDirectory, membersDigest } from './fleetDirectory.ts'
import { maximumIntervalMilliseconds, minimumIntervalMilliseconds, replyTimeoutMilliseconds } from './fleetTimes.ts'

const requestSchema = z.object({
  /** Of the list that the sender has from this seed; empty if it has none. */
  digest: z.string()
})
const replySchema = z.object({
  /** Absent if the sender has the same list. */
  members: z.array(z.object({ address: z.string(), region: z.string().optional() })).optional()
})

const fleetReport: MessageType<z.infer<typeof requestSchema>, z.infer<typeof replySchema>> = { name: 'fleet_report', body: requestSchema, reply: replySchema }

export interface FleetReportsOptions {
  readonly link: Link
  readonly directory: FleetDirectory
  readonly seeds: () => readonly string[]
  readonly clock: Clock
  readonly log: Log
}

/** Reports on behalf of one gateway. */
export class FleetReports {
  readonly #options: FleetReportsOptions
  readonly #stopping = new AbortController()

  constructor (options: FleetReportsOptions) {
    this.#options = options
    const { clock, directory, link } = options
    link.handle(fleetReport, async ({ digest }, from) => {
      directory.recordReport({ address: from.address, region: from.place.region }, clock.now())
      const members = directory.reportedMembers(clock.now())
      return membersDigest(members) === digest ? {} : { members: members.map(({ address, region }) => ({ address, region })) }
    })
  }

  /** Reports until stopped; returns at once. */
  start (): void {
    this.#run().catch(error => this.#options.log.error('fleet_reports_failed', { reason: String(error) }))
  }

  stop (): void {
    this.#stopping.abort()
  }

  async #run (): Promise<void> {
    const { clock, link, seeds } = this.#options
    let interval = minimumIntervalMilliseconds
    let answering: readonly string[] = []
    while (!this.#stopping.signal.aborted) {
      const otherSeeds = seeds().filter(address => address !== link.self.address)
      const answers = await Promise.all(otherSeeds.map(seed => this.#reportTo(seed)))
      const nowAnswering = otherSeeds.filter((_, index) => answers[index])
      // A list gets too old if a report that failed is only repeated after the longest interval.
      const hasLostSeed = answering.some(seed => !nowAnswering.includes(seed))
      if (hasLostSeed) interval = minimumIntervalMilliseconds
      answering = nowAnswering
      await clock.sleep(interval, this.#stopping.signal)
      interval = Math.min(maximumIntervalMilliseconds, interval * 2)
    }
  }

  /** Returns whether the seed answered. */
  async #reportTo (seed: string): Promise<boolean> {
    const { clock, directory, link } = this.#options
    const known = directory.listOf(seed)
    const digest = known.length === 0 ? '' : membersDigest(known)
    const askedAt = clock.now()
    const reply = await link.request({ name: '', address: seed }, fleetReport, { digest }, replyTimeoutMilliseconds)
    if (reply.err) return false
    const members = reply.val.members?.map(({ address, region }) => ({ address, region }))
    directory.recordList(seed, members ?? known, clock.now(), askedAt)
    return true
  }
}
