/** All that a soak has recorded, indexed for its checks. */
import { getOrCreate } from '../../src/contract/index.ts'
import { type AskedRun, readAskedRun } from './askedRun.ts'
import type { SoakRoute } from './callerPlan.ts'
import type { Fault } from './faults.ts'
import { type ConfigurationRecord, type EndRecord, type FailureRecord, type FaultRecord, type MemoryRecord, type ProcessorWaitRecord, type RequestRecord, RunEnd, type RunRecord, type SoakRecord, type StopRecord, unaskedRequest } from './records.ts'

/** What the checks know of the world besides its records. */
export interface SoakBounds {
  /** All routes that there have been. */
  readonly routes: readonly SoakRoute[]
  /** From SIGTERM to the end of a process, at most. */
  readonly graceMilliseconds: number
  /** From the store's acknowledgement of a configuration until it is in force, at most. */
  readonly applyMilliseconds: number
  /** Memory of a VM. */
  readonly memoryBytes: number
}

/** A span of time, in milliseconds since the Unix epoch. */
export interface Span {
  readonly from: number
  readonly to: number
}

/**
 * @example
 * const view = new SoakView(world.records, bounds)
 * view.runsOf('c1-0-3-1')
 */
export class SoakView {
  /** Requests that callers sent. */
  readonly requests: readonly RequestRecord[]
  /** Answers on connections that had no request waiting. */
  readonly unaskedAnswers: readonly RequestRecord[]
  readonly faults: readonly FaultRecord[]
  /** By version. */
  readonly configurations: readonly ConfigurationRecord[]
  /** Processes that ended by themselves. */
  readonly ends: readonly EndRecord[]
  /** Planned stops of gateways. */
  readonly stops: readonly StopRecord[]
  /** What the soak could not do. */
  readonly failures: readonly FailureRecord[]
  readonly memory: readonly MemoryRecord[]
  readonly bounds: SoakBounds
  readonly #routes: ReadonlyMap<string, SoakRoute>
  readonly #runs = new Map<string, RunRecord[]>()
  readonly #connections = new Map<string, RequestRecord[]>()
  readonly #processorWaits = new Map<string, ProcessorWaitRecord[]>()
  readonly #faultsByTarget = new Map<string, FaultRecord[]>()

  constructor (records: readonly SoakRecord[], bounds: SoakBounds) {
    const all = records.filter(record => record.type === 'request')
    this.requests = all.filter(({ request }) => request !== unaskedRequest)
    this.unaskedAnswers = all.filter(({ request }) => request === unaskedRequest)
    this.faults = records.filter(record => record.type === 'fault')
    this.configurations = records.filter(record => record.type === 'configuration').sort((left, right) => left.version - right.version)
    this.ends = records.filter(record => record.type === 'end')
    this.stops = records.filter(record => record.type === 'stop')
    this.failures = records.filter(record => record.type === 'failure')
    this.memory = records.filter(record => record.type === 'memory')
    this.bounds = bounds
    this.#routes = new Map(bounds.routes.map(route => [route.prefix, route]))
    for (const run of records.filter(record => record.type === 'run')) getOrCreate(this.#runs, run.request, () => []).push(run)
    for (const request of this.requests) getOrCreate(this.#connections, connectionOf(request), () => []).push(request)
    for (const wait of records.filter(record => record.type === 'processor_wait')) getOrCreate(this.#processorWaits, wait.process, () => []).push(wait)
    for (const fault of this.faults) getOrCreate(this.#faultsByTarget, fault.target, () => []).push(fault)
  }

  /** Runs of a request that endpoints did not reject, in the order in which they began. */
  runsOf (request: string): readonly RunRecord[] {
    const runs = this.#runs.get(request)?.filter(({ end }) => end !== RunEnd.NotRun) ?? []
    return runs.sort((left, right) => left.startedAt - right.startedAt)
  }

  /** What a request asked for, and its route. */
  askedOf ({ path }: Pick<RequestRecord, 'path'>): AskedRun & { readonly route: SoakRoute } {
    const asked = readAskedRun(path)
    const route = this.#routes.get(asked.prefix)
    if (route === undefined) throw new Error(`no route of the soak has the prefix ${asked.prefix}`)
    return { ...asked, route }
  }

  /** The requests that were sent on the same connection before one. */
  requestsAhead (request: RequestRecord): readonly RequestRecord[] {
    const connection = this.#connections.get(connectionOf(request)) ?? []
    return connection.filter(({ position }) => position < request.position)
  }

  /** When the connection of a request was first used. */
  connectionUsedFrom (request: RequestRecord): number {
    return Math.min(request.sentAt, ...this.requestsAhead(request).map(({ sentAt }) => sentAt))
  }

  /** The newest configuration that has to be in force when a request is sent, and all that come until it ends. */
  configurationsInForce ({ sentAt, endedAt }: RequestRecord): readonly ConfigurationRecord[] {
    const due = this.configurations.findLastIndex(({ acknowledgedAt }) => acknowledgedAt + this.bounds.applyMilliseconds <= sentAt)
    return this.configurations.slice(Math.max(0, due)).filter(configuration => configuration.sentAt <= endedAt)
  }

  /**
   * The timeouts that a request's route has while it is open, by all configurations that may be in force.
   *
   * @param mayBeLate whether any earlier configuration may still be in force, as beside a store that was not stable
   */
  timeoutsMilliseconds (request: RequestRecord, mayBeLate: boolean): readonly number[] {
    const { prefix, route } = this.askedOf(request)
    const configurations = mayBeLate ? this.configurations.filter(({ sentAt }) => sentAt <= request.endedAt) : this.configurationsInForce(request)
    const routes = configurations.flatMap(configuration => configuration.routes)
    const timeouts = routes.filter(each => each.prefix === prefix).map(each => each.timeoutMilliseconds)
    return timeouts.length === 0 ? [route.timeoutMilliseconds] : timeouts
  }

  /** For how long at most a process was ready to run without a processor in a span, by the samples around it. */
  processorWaitMilliseconds (process: string, { from, to }: Span): number {
    const samples = this.#processorWaits.get(process) ?? []
    const first = Math.max(0, samples.findLastIndex(({ at }) => at <= from))
    const after = samples.findIndex(({ at }) => at >= to)
    const around = samples.slice(first, after < 0 ? undefined : after + 1)
    // A process that has started anew counts from 0.
    return around.reduce((sum, { milliseconds }, index) => sum + Math.max(0, milliseconds - (around[index - 1]?.milliseconds ?? milliseconds)), 0)
  }

  /** Faults of some kinds at a target, so far as they fall in a span. */
  faultsAt (target: string, kinds: readonly Fault[], { from, to }: Span): readonly FaultRecord[] {
    const faults = this.#faultsByTarget.get(target) ?? []
    return faults.filter(({ fault, at, until }) => kinds.some(kind => kind === fault) && at <= to && until >= from)
  }
}

function connectionOf ({ request, position }: RequestRecord): string {
  return request.slice(0, -`-${position}`.length)
}
