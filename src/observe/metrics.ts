/**
 * Prometheus metrics of a daemon. Label values come from closed sets (names in the settings, codes,
 * outcomes) and never from caller input, so that the number of time series stays bounded.
 */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import { createStallMetrics } from './eventLoopStalls.ts'

const latencyBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.2, 2, 5, 10, 30, 60, 120]
const betweenTokensBuckets = [0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256]

/**
 * All metrics of a daemon.
 *
 * @example
 * metrics.requests.inc({ organisation: 'harbour', kind: 'tagging', outcome: 'answered' })
 */
export class Metrics {
  readonly registry = new Registry()
  readonly requests = this.#counter('requests_total', 'Requests by how they ended.', ['organisation', 'kind', 'outcome'])
  readonly refusals = this.#counter('refusals_total', 'Refusals by code and by whether the request ran.', ['code', 'run'])
  readonly attempts = this.#counter('attempts_total', 'Attempts at endpoints by how they ended.', ['endpoint', 'end'])
  readonly cost = this.#counter('cost_units_total', 'Cost units: billed, or booked as extra.', ['organisation', 'kind', 'booking'])
  readonly ratings = this.#counter('ratings_total', 'Ratings by whether the answer was good enough to release.', ['version', 'verdict'])
  readonly exposedRequests = this.#counter('exposed_requests_total', 'Requests served by a version after its first failing evidence.', ['version'])
  readonly regionalLinkBytes = this.#counter('regional_link_bytes_total', 'Estimated bytes of requests and answers over the link between regions.', [])
  readonly firstToken = this.#histogram('first_token_seconds', 'From the request to the first token of the answer.', ['kind'], latencyBuckets)
  readonly betweenTokens = this.#histogram('between_tokens_seconds', 'Between two pieces of a streamed answer, by token.', ['kind'], betweenTokensBuckets)
  readonly wholeAnswer = this.#histogram('whole_answer_seconds', 'From the request to the end of the answer.', ['kind'], latencyBuckets)
  readonly inFlight = this.#gauge('requests_in_flight', 'Requests being served.', [])
  readonly settingsRevision = this.#gauge('settings_revision', 'The revision of the settings in force here.', [])
  readonly settingsLease = this.#gauge('settings_lease_held', '1 while the settings are known to be the latest.', [])
  readonly members = this.#gauge('members', 'Daemons that this one knows.', ['state'])
  readonly stewardLeaseHeld = this.#gauge('steward_lease_held', '1 while this daemon is its data centre\'s steward.', [])
  readonly billBacklog = this.#gauge('bill_backlog_entries', 'Bill entries that are not in the store yet.', [])
  readonly billsCopied = this.#gauge('bill_entries_copied', 'Answers released on copies with other VMs while the store was out.', [])
  readonly billsUnsafe = this.#gauge('bill_entries_unsafe', 'Bill entries that were neither in the store nor copied when their answer waited.', [])
  readonly eventLoopStalls = createStallMetrics(this.registry)
  readonly billsLost = this.#gauge('bill_entries_lost', 'Bill entries known to be lost.', [])

  /** @param includesProcessMetrics whether to export CPU time and memory of the process as well */
  constructor (includesProcessMetrics = false) {
    if (includesProcessMetrics) collectDefaultMetrics({ register: this.registry, prefix: 'lavenderdoor_' })
  }

  /** All metrics in the Prometheus text format. */
  text (): Promise<string> {
    return this.registry.metrics()
  }

  #counter<Label extends string> (name: string, help: string, labelNames: Label[]): Counter<Label> {
    return new Counter({ name: `lavenderdoor_${name}`, help, labelNames, registers: [this.registry] })
  }

  #gauge<Label extends string> (name: string, help: string, labelNames: Label[]): Gauge<Label> {
    return new Gauge({ name: `lavenderdoor_${name}`, help, labelNames, registers: [this.registry] })
  }

  #histogram<Label extends string> (name: string, help: string, labelNames: Label[], buckets: number[]): Histogram<Label> {
    return new Histogram({ name: `lavenderdoor_${name}`, help, labelNames, buckets, registers: [this.registry] })
  }
}
