/**
 * Entry point of request forwarding: matches the route, resolves the organisation, reads the body, then
 * makes attempts at endpoints until a response is delivered or the request is abandoned. Each request
 * logs one line with everything that determined its outcome.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { type Refusal, RefusalCode } from '../contract/index.ts'
import { chooseService } from '../placement/index.ts'
import { CloseCause, type ResponseTurn, closeCauseOf, immediateTurn, readBoundedBody, recordCloseCause } from '../server/index.ts'
import { type RequestHead, RouteType, type Route, type RoutedOrganisation } from '../routing/index.ts'
import { type ForwardRefusal, ForwardRefusals, sendRefusal } from './forwardRefusal.ts'
import { ForwardedRequest } from './forwardedRequest.ts'
import type { ForwardingDependencies } from './forwardingDependencies.ts'
import { type HeadSize, RequestHolding, headSizeOf } from './requestHolding.ts'
import { PlainForwarding } from './plainForwarding.ts'
import { tryNormaliseTarget } from './requestTarget.ts'
import type { RoutingSnapshot } from './routingView.ts'
import { SendWindow } from './sendWindow.ts'
import { StreamForwarding } from './streamForwarding.ts'
import { TurnWait, TurnWaitEnd } from './turnWait.ts'

/** Equal to the HTTP server's own timeout for a complete request, in milliseconds. */
const bodyTimeoutMilliseconds = 300_000

/** A head with more fields takes much processor time, since each is copied and checked several times. */
const manyFields = 500
/** Requests with such heads that are worked on at a time. */
const maximumWithManyFields = 4

/** Routing result for an accepted request. */
interface AdmittedRequest {
  readonly route: Route
  readonly organisation: RoutedOrganisation | undefined
  readonly service: string
}

/** A request whose turn did not come. */
interface EndedWait {
  readonly end: Exclude<TurnWaitEnd, typeof TurnWaitEnd.Come>
  readonly route: Route
  readonly waitedMilliseconds: number | undefined
}

/** How a request is refused whose turn did not come; undefined if nobody is left to be told. */
const refusalsAfterWait: Readonly<Record<EndedWait['end'], ForwardRefusal | undefined>> = {
  [TurnWaitEnd.Overdue]: ForwardRefusals.notSentInTime,
  [TurnWaitEnd.Stopping]: ForwardRefusals.stopping,
  [TurnWaitEnd.Evicted]: ForwardRefusals.memoryFull,
  [TurnWaitEnd.Closed]: undefined
}

export class Forwarding {
  readonly #dependencies: ForwardingDependencies
  readonly #readRequests = new Set<ForwardedRequest>()
  #inFlight = 0
  #withManyFields = 0

  constructor (dependencies: ForwardingDependencies) {
    this.#dependencies = dependencies
  }

  /** Number of requests being forwarded. */
  get inFlight (): number {
    return this.#inFlight
  }

  /** The requests being forwarded whose body has been read. */
  get readRequests (): readonly ForwardedRequest[] {
    return [...this.#readRequests]
  }

  /** Forwards one request when its turn comes; resolves when the response has ended or its connection is closed. */
  async handle (request: IncomingMessage, response: ServerResponse, turn: ResponseTurn = immediateTurn): Promise<void> {
    this.#inFlight++
    this.#dependencies.metrics.inFlight.set(this.#inFlight)
    const holding = new RequestHolding(this.#dependencies, response)
    try {
      await this.#forward(request, response, holding, turn)
    } finally {
      holding.endWork()
      this.#inFlight--
      this.#dependencies.metrics.inFlight.set(this.#inFlight)
    }
  }

  /** Refuses a request that arrives so late in a planned stop that it would be cut off, so that another VM takes it. */
  refuseStopping (request: IncomingMessage, response: ServerResponse): void {
    this.#refuse(request, response, ForwardRefusals.stopping, this.#dependencies.codec.readRequestHead(request.headers))
  }

  async #forward (request: IncomingMessage, response: ServerResponse, holding: RequestHolding, turn: ResponseTurn): Promise<void> {
    const { clock, codec, plannedStop, routing, runDurations, untilTablesAreRead } = this.#dependencies
    const arrivedAt = clock.now() - turn.millisecondsSinceArrival
    const headSize = headSizeOf(request)
    if (!this.#hasRoomFor(headSize, response) || !holding.tryAddHead(headSize)) return this.#refuse(request, response, ForwardRefusals.memoryFull)
    await plannedStop.orEnd(untilTablesAreRead(), plannedStop)
    const snapshot = routing.snapshot
    if (snapshot === undefined) return this.#refuse(request, response, ForwardRefusals.noSettings)
    if (headSize.bytes > snapshot.settings.limits.maximumHeaderBytes) return this.#refuse(request, response, ForwardRefusals.headTooLarge)
    const head = codec.readRequestHead(request.headers)
    if (!tryNormaliseTarget(request)) return this.#refuse(request, response, ForwardRefusals.malformedHead, head)
    const admitted = this.#admit(request, head, snapshot)
    if ('code' in admitted) return this.#refuse(request, response, admitted, head)
    const deadline = arrivedAt + Math.min(admitted.route.timeoutMilliseconds, head.timeoutMilliseconds ?? Infinity)
    const sendWindow = new SendWindow({ plannedStop, runDurations, route: admitted.route, deadline, now: () => clock.now() })
    if (sendWindow.isClosed) return this.#refuse(request, response, ForwardRefusals.stopping, head)
    const body = await plannedStop.orEnd(readBoundedBody(request, { maximumBytes: snapshot.settings.limits.maximumBodyBytes, timeoutMilliseconds: bodyTimeoutMilliseconds, holding, evicted: holding.evicted }), sendWindow)
    if (body === undefined) return this.#refuse(request, response, ForwardRefusals.stopping, head)
    if (body.err) return this.#refuseBody(request, response, body.val, head)
    const bodyReadAt = clock.now()
    const wait = new TurnWait(turn, clock)
    const waitEnd = await wait.run({ plannedStop, deadline, sendWindow, evicted: holding.evicted })
    if (waitEnd !== TurnWaitEnd.Come) return this.#endWaiting(request, response, head, { end: waitEnd, route: admitted.route, waitedMilliseconds: wait.milliseconds })
    holding.beginWork()
    const forwardedRequest = new ForwardedRequest({ ...admitted, holding, waitedMilliseconds: wait.milliseconds, request, response, head, body: body.val, arrivedAt, bodyReadAt, deadline, sendWindow, snapshot, dependencies: this.#dependencies })
    await this.#run(forwardedRequest)
  }

  /** Whether a request may be worked on beside those with as many fields. */
  #hasRoomFor ({ fields }: HeadSize, response: ServerResponse): boolean {
    if (fields <= manyFields) return true
    if (this.#withManyFields >= maximumWithManyFields) return false
    this.#withManyFields++
    response.once('close', () => { this.#withManyFields-- })
    return true
  }

  #admit (request: IncomingMessage, head: RequestHead, { settings, routes }: RoutingSnapshot): AdmittedRequest | ForwardRefusal {
    const route = routes.match(request.headers.host ?? '', request.url ?? '')
    if (route === undefined) return ForwardRefusals.unknownRoute
    const organisation = head.apiKey === undefined ? undefined : settings.organisationsByApiKey.get(head.apiKey)
    if (settings.requiresApiKey && !route.isPublic && organisation === undefined) return ForwardRefusals.unknownKey
    if (head.attemptId === undefined || head.error !== undefined) return ForwardRefusals.malformedHead
    const service = chooseService(route, head.session ?? head.attemptId)
    if (service === undefined) return ForwardRefusals.noEndpoint
    return { route, organisation, service }
  }

  async #run (forwardedRequest: ForwardedRequest): Promise<void> {
    const { retryBudget, clock, log, versionSelector } = this.#dependencies
    retryBudget.recordRequest(forwardedRequest.service, clock.now())
    this.#readRequests.add(forwardedRequest)
    const endSessionRequest = versionSelector.trackRequest(forwardedRequest.head.session)
    try {
      const isStream = forwardedRequest.route.type === RouteType.Stream
      await (isStream ? new StreamForwarding(forwardedRequest) : new PlainForwarding(forwardedRequest)).run()
    } catch (error) {
      log.error('forwarding_failed', { request: forwardedRequest.head.attemptId, reason: error instanceof Error ? error.stack : String(error) })
      forwardedRequest.callerResponse.abort('internal_failure')
    } finally {
      endSessionRequest(clock.now())
      forwardedRequest.attempts.close()
      forwardedRequest.callerResponse.endUnfinished()
      this.#readRequests.delete(forwardedRequest)
    }
  }

  /** A request whose turn did not come is refused, unless its connection has closed. It was not passed on. */
  #endWaiting (request: IncomingMessage, response: ServerResponse, head: RequestHead, { end, route, waitedMilliseconds }: EndedWait): void {
    const refusal = refusalsAfterWait[end]
    if (refusal !== undefined) return this.#refuse(request, response, refusal, head, waitedMilliseconds)
    this.#dependencies.log.info('request_not_passed_on', { request: head.attemptId, route: route.name, cause: closeCauseOf(request.socket), waitedMilliseconds })
    this.#dependencies.metrics.requests.inc({ service: 'none', outcome: 'not_passed_on' })
  }

  #refuseBody (request: IncomingMessage, response: ServerResponse, { code }: Refusal, head: RequestHead): void {
    if (code === RefusalCode.BodyTooLarge) return this.#refuse(request, response, ForwardRefusals.bodyTooLarge, head)
    if (code === RefusalCode.Overloaded) return this.#refuse(request, response, ForwardRefusals.memoryFull, head)
    this.#dependencies.log.info('request_broken', { request: head.attemptId, path: request.url })
    recordCloseCause(request.socket, CloseCause.BodyBroken)
    response.destroy()
  }

  #refuse (request: IncomingMessage, response: ServerResponse, refusal: ForwardRefusal, head?: RequestHead, waitedMilliseconds?: number): void {
    const { codec, log, metrics, routing } = this.#dependencies
    log.info('request_refused', {
      request: head?.attemptId,
      // A lookup of the fields of a head that was not read would take what its refusal saves.
      host: head === undefined ? undefined : request.headers.host,
      path: request.url,
      code: refusal.code,
      status: refusal.status,
      detail: head?.error,
      isBodyUnread: !request.complete,
      waitedMilliseconds,
      settings: routing.snapshot?.settings.version
    })
    metrics.requests.inc({ service: 'none', outcome: refusal.code })
    sendRefusal(response, refusal, codec)
  }
}
