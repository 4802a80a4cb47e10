/** Prometheus metrics of the gateway. Label values come from settings and fixed sets, never from caller input. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import { createStallMetrics } from '../observe/index.ts'

const latencyBuckets = [0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 30]

export class GatewayMetrics {
  readonly registry = new Registry()
  readonly requests = new Counter({ name: 'lavenderdoor_forwarded_total', help: 'Forwarded requests by service and how they ended.', labelNames: ['service', 'outcome'], registers: [this.registry] })
  readonly attempts = new Counter({ name: 'lavenderdoor_forward_attempts_total', help: 'Attempts at endpoints by service and how they ended.', labelNames: ['service', 'end'], registers: [this.registry] })
  readonly sends = new Counter({ name: 'lavenderdoor_forward_sends_total', help: 'Requests written to connections of endpoints, by service and kind: first, or retry for every further one of the same request, also after an answer that it was not run.', labelNames: ['service', 'kind'], registers: [this.registry] })
  readonly misdirected = new Counter({ name: 'lavenderdoor_forward_misdirected_total', help: 'Requests that were rejected with 421, since their address belongs to another endpoint, by the service they were meant for.', labelNames: ['service'], registers: [this.registry] })
  readonly brokenRuns = new Counter({ name: 'lavenderdoor_forward_broken_runs_total', help: 'Runs at endpoints that broke off, by service, how the attempt ended and whether a response had begun.', labelNames: ['service', 'end', 'progress'], registers: [this.registry] })
  readonly givenUpRuns = new Counter({ name: 'lavenderdoor_forward_given_up_runs_total', help: 'Runs at endpoints that this gateway gave up, by service and reason: silence, deadline, larger_model.', labelNames: ['service', 'reason'], registers: [this.registry] })
  readonly heldBack = new Counter({ name: 'lavenderdoor_forward_held_back_total', help: 'Attempts held back for the rate limits of endpoints, by service and where: choice (had to wait), send, refusal.', labelNames: ['service', 'at'], registers: [this.registry] })
  readonly heldBackRetries = new Counter({ name: 'lavenderdoor_forward_retries_held_back_total', help: 'Requests that were not sent once more since the retry budget of their service was used up.', labelNames: ['service'], registers: [this.registry] })
  readonly limitedAttempts = new Counter({ name: 'lavenderdoor_forward_limited_attempts_total', help: 'Attempts sent to endpoints that had announced a rate limit.', labelNames: ['service'], registers: [this.registry] })
  readonly warmUpAttempts = new Counter({ name: 'lavenderdoor_forward_warm_up_attempts_total', help: 'Attempts sent to endpoints that warm up, within the share of this gateway.', labelNames: ['service'], registers: [this.registry] })
  readonly evacuatedDataCentres = new Gauge({ name: 'lavenderdoor_evacuated_data_centres', help: 'Data centres to whose endpoints nothing new is sent.', registers: [this.registry] })
  readonly addressChanges = new Counter({ name: 'lavenderdoor_endpoint_address_changes_total', help: 'Endpoints whose address answers for another one: lost, tried by one request, confirmed by its answer.', labelNames: ['change'], registers: [this.registry] })
  readonly promptChanges = new Counter({ name: 'lavenderdoor_prompt_blocks_total', help: 'Blocks of prompt parts that crash endpoints: set, cleared by a good answer, and trials.', labelNames: ['change'], registers: [this.registry] })
  readonly escalations = new Counter({ name: 'lavenderdoor_escalations_total', help: 'Answers of a smaller model that were dropped for a larger one.', labelNames: ['service'], registers: [this.registry] })
  readonly firstByteSeconds = new Histogram({ name: 'lavenderdoor_forward_first_byte_seconds', help: 'From the request to the first byte of its answer.', labelNames: ['service'], buckets: latencyBuckets, registers: [this.registry] })
  readonly responseSeconds = new Histogram({ name: 'lavenderdoor_forward_whole_seconds', help: 'From the request to the end of its answer.', labelNames: ['service'], buckets: latencyBuckets, registers: [this.registry] })
  readonly inFlight = new Gauge({ name: 'lavenderdoor_forward_in_flight', help: 'Requests being forwarded.', registers: [this.registry] })
  readonly settingsVersion = new Gauge({ name: 'lavenderdoor_routing_version', help: 'The version of the routing settings in force.', registers: [this.registry] })
  readonly storeLost = new Gauge({ name: 'lavenderdoor_store_lost', help: '1 while some table of the store can not be followed.', registers: [this.registry] })
  readonly confirmationAge = new Gauge({ name: 'lavenderdoor_confirmation_age_seconds', help: 'Time since the store last confirmed the stalest table, by the hop over which that was heard: store, relay, none before the first.', labelNames: ['hop'], registers: [this.registry] })
  readonly loadNewsAge = new Gauge({ name: 'lavenderdoor_load_news_age_seconds', help: 'Age of the news of the work of other gateways; infinite before the first.', registers: [this.registry] })
  readonly heldAnswerBytes = new Gauge({ name: 'lavenderdoor_held_answer_bytes', help: 'Bytes of answers that can not be passed on to callers yet.', registers: [this.registry] })
  readonly heldBytes = new Gauge({ name: 'lavenderdoor_held_bytes', help: 'Bytes held for callers: heads, bodies and answers that they have not read.', registers: [this.registry] })
  readonly evictedHoldings = new Counter({ name: 'lavenderdoor_evicted_holdings_total', help: 'Requests that were refused or cut because what they held was needed for others.', registers: [this.registry] })
  readonly closedConnections = new Counter({ name: 'lavenderdoor_caller_connections_closed_total', help: 'Connections of callers that were closed for others, by cause.', labelNames: ['cause'], registers: [this.registry] })
  readonly cutRequests = new Counter({ name: 'lavenderdoor_caller_requests_cut_total', help: 'Requests without a complete answer whose connection this gateway closed, by cause and state: arriving, unanswered, begun, waiting (not passed on).', labelNames: ['cause', 'state'], registers: [this.registry] })
  readonly eventLoopStalls = createStallMetrics(this.registry)
  readonly droppedLogLines = new Gauge({ name: 'lavenderdoor_log_lines_dropped', help: 'Log lines that were dropped because their reader was too slow.', registers: [this.registry] })

  constructor () {
    collectDefaultMetrics({ register: this.registry, prefix: 'lavenderdoor_', eventLoopMonitoringPrecision: 200 })
  }

  /** Returns all metrics in the Prometheus text format. */
  text (): Promise<string> {
    return this.registry.metrics()
  }
}
