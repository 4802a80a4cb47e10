/**
 * The way of one forwarded request: its route, its organisation, its body, then attempts at
 * endpoints until an answer is delivered or the request is given up. One line is logged for each
 * request with everything that decided it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { type Clock, type Refusal, RefusalCode } from '../contract/index.ts'
import type { Connections } from '../endpoint/index.ts'
import type { Log } from '../observe/index.ts'
import type { EndpointRoster, EndpointLoads, EndpointPlacement, ModelSizes, RepeatAllowance, VersionChoice } from '../placing/index.ts'
import { chooseService } from '../placing/index.ts'
import { readBoundedBody } from '../server/index.ts'
import { type CallerHead, type HeaderCodec, Repetition, type Route, type RoutedOrganisation } from '../routing/index.ts'
import { type ForwardRefusal, ForwardRefusals, sendRefusal } from './forwardRefusal.ts'
import { ForwardRequest } from './forwardRequest.ts'
import type { GatewayMetrics } from './gatewayMetrics.ts'
import { PlainForwarding } from './plainForwarding.ts'
import type { RollOutView } from './rollOutView.ts'
import type { RoutingSnapshot, RoutingView } from './routingView.ts'
import { StreamForwarding } from './streamForwarding.ts'

/** What forwarding is made of. */
export interface ForwardingParts {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: GatewayMetrics
  readonly codec: HeaderCodec
  readonly routing: RoutingView
  readonly roster: EndpointRoster
  readonly loads: EndpointLoads
  readonly placement: EndpointPlacement
  readonly sizes: ModelSizes
  readonly allowance: RepeatAllowance
  readonly versions: VersionChoice
  readonly rollOuts: RollOutView
  readonly connections: Connections
}

/** The server itself waits no longer for a whole request, in milliseconds. */
const bodyMilliseconds = 300_000

/** Where a request may go. */
interface Admitted {
  readonly route: Route
  readonly organisation: RoutedOrganisation | undefined
  readonly service: string
}

/** Forwards requests. */
export class Forwarding {
  readonly #parts: ForwardingParts
  #inFlight = 0

  constructor (parts: ForwardingParts) {
    this.#parts = parts
  }

  /** Requests that are being forwarded. */
  get inFlight (): number {
    return this.#inFlight
  }

  /** Forwards one request; its response has ended or is cut when the promise is fulfilled. */
  async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#inFlight++
    this.#parts.metrics.inFlight.set(this.#inFlight)
    try {
      await this.#forward(request, response)
    } finally {
      this.#inFlight--
      this.#parts.metrics.inFlight.set(this.#inFlight)
    }
  }

  /** Refuses a request that comes when a planned stop would cut it: another VM is to take it. */
  refuseStopping (request: IncomingMessage, response: ServerResponse): void {
    this.#refuse(request, response, ForwardRefusals.stopping, this.#parts.codec.readCaller(request.headers))
  }

  async #forward (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, codec, routing } = this.#parts
    const arrivedAt = clock.now()
    const snapshot = routing.snapshot
    if (snapshot === undefined) return this.#refuse(request, response, ForwardRefusals.noSettings)
    if (headBytes(request) > snapshot.settings.limits.headerBytes) return this.#refuse(request, response, ForwardRefusals.headTooLarge)
    const head = codec.readCaller(request.headers)
    const admitted = this.#admit(request, head, snapshot)
    if ('code' in admitted) return this.#refuse(request, response, admitted, head)
    const body = await readBoundedBody(request, snapshot.settings.limits.bodyBytes, bodyMilliseconds)
    if (body.err) return this.#refuseBody(request, response, body.val, head)
    const forward = new ForwardRequest({ ...admitted, request, response, head, body: body.val, arrivedAt, snapshot, parts: this.#parts })
    await this.#run(forward)
  }

  #admit (request: IncomingMessage, head: CallerHead, { settings, routes }: RoutingSnapshot): Admitted | ForwardRefusal {
    const route = routes.match(request.headers.host ?? '', request.url ?? '')
    if (route === undefined) return ForwardRefusals.unknownRoute
    const organisation = head.key === undefined ? undefined : settings.organisationsByKey.get(head.key)
    if (settings.keysRequired && !route.isPublic && organisation === undefined) return ForwardRefusals.unknownKey
    if (head.identity === undefined || head.fault !== undefined) return ForwardRefusals.malformedHead
    const service = chooseService(route, head.session ?? head.identity)
    if (service === undefined) return ForwardRefusals.noEndpoint
    return { route, organisation, service }
  }

  async #run (forward: ForwardRequest): Promise<void> {
    const { allowance, clock, log } = this.#parts
    allowance.observeRequest(forward.service, clock.now())
    try {
      const isStream = forward.route.repetition === Repetition.Stream
      await (isStream ? new StreamForwarding(forward) : new PlainForwarding(forward)).run()
    } catch (error) {
      log.error('forwarding_failed', { request: forward.head.identity, reason: error instanceof Error ? error.stack : String(error) })
      forward.answer.cut('internal_failure')
    } finally {
      forward.answer.close()
    }
  }

  #refuseBody (request: IncomingMessage, response: ServerResponse, { code }: Refusal, head: CallerHead): void {
    if (code === RefusalCode.BodyTooLarge) return this.#refuse(request, response, ForwardRefusals.bodyTooLarge, head)
    this.#parts.log.info('request_broken', { request: head.identity, path: request.url })
    response.destroy()
  }

  #refuse (request: IncomingMessage, response: ServerResponse, refusal: ForwardRefusal, head?: CallerHead): void {
    const { codec, log, metrics, routing } = this.#parts
    log.info('request_refused', {
      request: head?.identity,
      host: request.headers.host,
      path: request.url,
      code: refusal.code,
      status: refusal.status,
      detail: head?.fault,
      settings: routing.snapshot?.settings.version
    })
    metrics.requests.inc({ service: 'none', outcome: refusal.code })
    sendRefusal(response, refusal, codec)
    // Nothing more is read of a request that is refused before its body was.
    if (!request.complete) response.once('finish', () => request.destroy())
  }
}

function headBytes (request: IncomingMessage): number {
  const lines = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
  return lines + (request.method?.length ?? 0) + (request.url?.length ?? 0)
}
