/**
 * HTTP server for callers: OpenAI's chat completions and models, and plain services under
 * `/v1/services`. It authenticates and parses requests, passes them to the routers and writes the
 * responses. Versions, endpoints and claims are handled by the routers.
 */
import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createServer as createSecureServer } from 'node:https'
import type { Socket } from 'node:net'
import Koa from 'koa'
import { type Clock, Err, modelOf, Ok, type Randomness, Refusal, RefusalCode, type Result, RunState, untilInputIsRead } from '../contract/index.ts'
import type { SettingsSource } from '../distribution/index.ts'
import { type Log, type Metrics, parseTraceParent, type Tracer } from '../observe/index.ts'
import type { SessionTokens } from '../session/index.ts'
import type { OperationSettings, OrganisationView } from '../settings/index.ts'
import { abortWhenCallerLeaves, callerLeft } from './callerLeaves.ts'
import { readChatBody } from './chatBody.ts'
import { respondChat } from './chatResponse.ts'
import { type ChatCall, type ChatRouter, SessionRequest } from './chatRouter.ts'
import type { Drain } from './drain.ts'
import { TrackedConnections, TurnOutcome, allowHalfOpen, awaitTurn, hasValidHostField, immediateTurn, listenOn, readBoundedBody, refuseConnect } from '../server/index.ts'
import { refuseMalformed } from './malformedRefusal.ts'
import { errorBody, modelList } from './openAiFormat.ts'
import type { ServiceRequest } from './serviceRequest.ts'
import type { ServiceRouter } from './serviceRouter.ts'
import { isIdempotent } from './serviceOperation.ts'
import { automaticModel } from './versionSelection.ts'

export interface CallerServerOptions {
  readonly clock: Clock
  readonly randomness: Randomness
  readonly settings: SettingsSource
  readonly sessions: SessionTokens
  readonly chat: ChatRouter
  readonly services: ServiceRouter
  readonly drain: Drain
  readonly metrics: Metrics
  readonly tracer: Tracer
  readonly log: Log
  readonly maximumBodyBytes: number
  readonly requestTimeoutSeconds: number
  /** PEM texts; plain HTTP if undefined. */
  readonly tls: { readonly key: string, readonly cert: string } | undefined
}

/** A request with a valid API key and its deadline. */
interface AuthenticatedRequest {
  readonly id: string
  readonly organisation: OrganisationView
  readonly deadline: number
  /** Aborted when the caller disconnects before the response is complete. */
  readonly signal: AbortSignal
}

const headersTimeoutMilliseconds = 10_000
const keepAliveTimeoutMilliseconds = 60_000
const idleCloseIntervalMilliseconds = 50
/** Connections that are still open so long after the stop began are closed whatever goes on there. */
const closeAllDelayMilliseconds = 3_000
const maximumIdempotencyKeyCharacters = 255
const millisecondsPerSecond = 1_000
const servicePathPattern = /^\/v1\/services\/([^/]+)(\/.*)$/

/** Accepts requests of callers. */
export class CallerServer {
  readonly #options: CallerServerOptions
  readonly #server: Server
  readonly #connections: TrackedConnections
  #isClosing = false

  constructor (options: CallerServerOptions) {
    this.#options = options
    const application = new Koa()
    application.on('error', error => options.log.debug('caller_connection_failed', { reason: String(error) }))
    application.use(context => this.#serve(context))
    const limits = { headersTimeout: headersTimeoutMilliseconds, keepAliveTimeout: keepAliveTimeoutMilliseconds, requestTimeout: 0, requireHostHeader: false }
    const handle = application.callback()
    const handler = (request: IncomingMessage, response: ServerResponse) => {
      if (this.#connections.add(request, response)) handle(request, response).catch(error => options.log.error('request_failed', { reason: String(error) }))
      else request.resume()
    }
    this.#server = options.tls === undefined ? createServer(limits, handler) : createSecureServer({ ...limits, ...options.tls, allowHalfOpen: true }, handler)
    this.#connections = new TrackedConnections(this.#server, options.tls !== undefined)
    this.#server.on('checkExpectation', handler)
    allowHalfOpen(this.#server)
    this.#server.on('clientError', (_error, socket) => refuseMalformed(socket as Socket, this.#connections.of(socket as Socket)))
    refuseConnect(this.#server, socket => this.#connections.of(socket))
  }

  /**
   * Starts listening.
   *
   * @param address `IP:port`; port 0 selects a free port
   * @returns the bound `IP:port`
   */
  async listen (address: string): Promise<string> {
    return await listenOn(this.#server, address)
  }

  /** Uses a new key and certificate for new connections. */
  reloadTls (tls: { readonly key: string, readonly cert: string }): void {
    if ('setSecureContext' in this.#server) (this.#server as unknown as { setSecureContext (options: object): void }).setSecureContext(tls)
  }

  /** Stops listening and closes connections as they become idle. Running responses complete. */
  async close (): Promise<void> {
    const { clock } = this.#options
    this.#isClosing = true
    this.#connections.stopListening()
    const closeAllAt = clock.now() + closeAllDelayMilliseconds
    for (;;) {
      // A request may have arrived that was not read yet.
      await untilInputIsRead(clock)
      const isLate = clock.now() >= closeAllAt
      for (const connection of this.#connections.all) if (isLate || connection.isIdle) connection.socket.destroy()
      if (this.#connections.all.every(({ socket }) => socket.destroyed)) break
      await clock.sleep(idleCloseIntervalMilliseconds)
    }
    // Ends the server's own timers; it listens no more.
    this.#server.close()
  }

  async #serve (context: Koa.Context): Promise<void> {
    const leave = this.#options.drain.enter()
    if (leave === undefined) {
      context.set('connection', 'close')
      return this.#refuse(context, stopping())
    }
    this.#options.metrics.inFlight.inc()
    // A request ends when its response has been sent completely or its connection is closed.
    context.res.once('close', () => {
      this.#options.metrics.inFlight.dec()
      leave()
    })
    const span = this.#options.tracer.startSpan(`${context.method} ${context.path}`, 'server', parseTraceParent(context.get('traceparent') || undefined))
    context.state.trace = span.context
    try {
      await this.#route(context)
    } finally {
      span.setAttribute('status', context.res.statusCode)
      span.end(context.res.statusCode >= 500 ? 'the request failed' : undefined)
    }
  }

  async #route (context: Koa.Context): Promise<void> {
    if (!hasValidHostField(context.req)) return this.#refuse(context, new Refusal(RefusalCode.InvalidRequest, RunState.NotRun, 'the request needs one Host field'))
    const caller = this.#authenticate(context)
    if (caller.err) return this.#refuse(context, caller.val)
    if (context.path === '/v1/models' && context.method === 'GET') return this.#respondModels(context, caller.val)
    if (context.path === '/v1/chat/completions' && context.method === 'POST') return await this.#respondChat(context, caller.val)
    const service = servicePathPattern.exec(context.path)
    if (service !== null) return await this.#respondService(context, caller.val, service[1] ?? '', service[2] ?? '')
    this.#refuse(context, new Refusal(RefusalCode.PathNotFound, RunState.NotRun, `no route for ${context.method} ${context.path}`))
  }

  #authenticate (context: Koa.Context): Result<AuthenticatedRequest, Refusal> {
    const key = /^Bearer\s+(\S+)$/i.exec(context.get('authorization'))?.[1]
    const hash = key === undefined ? '' : createHash('sha256').update(key).digest('hex')
    const organisation = this.#options.settings.view.organisationByKeyHash(hash)
    if (organisation === undefined) return Err(new Refusal(RefusalCode.InvalidApiKey, RunState.NotRun, 'the API key is missing or unknown'))
    const deadline = this.#deadline(context.get('x-lavenderdoor-timeout-seconds'))
    if (deadline === undefined) return Err(new Refusal(RefusalCode.InvalidRequest, RunState.NotRun, 'x-lavenderdoor-timeout-seconds must be a positive number'))
    const id = this.#options.randomness.identifier()
    context.set('x-request-id', id)
    return Ok({ id, organisation, deadline, signal: abortWhenCallerLeaves(context) })
  }

  #deadline (header: string): number | undefined {
    const seconds = header === '' ? this.#options.requestTimeoutSeconds : Number(header)
    if (!(seconds > 0)) return undefined
    return this.#options.clock.now() + Math.min(seconds, this.#options.requestTimeoutSeconds) * millisecondsPerSecond
  }

  #respondModels (context: Koa.Context, caller: AuthenticatedRequest): void {
    const versions = caller.organisation.versions
    context.body = modelList([automaticModel, ...new Set(versions.map(modelOf)), ...versions])
  }

  async #respondChat (context: Koa.Context, caller: AuthenticatedRequest): Promise<void> {
    const call = await this.#readChatCall(context, caller)
    if (call.err) return this.#refuse(context, call.val)
    if (!(await this.#isPassedOn(context, caller))) return
    const { clock, log, metrics } = this.#options
    const startedAt = clock.now()
    const labels = { organisation: caller.organisation.name, kind: call.val.call.request.kind }
    const end = await respondChat(context, this.#options.chat.answer(call.val.call, caller.signal), {
      id: caller.id,
      includeUsage: call.val.includeUsage,
      streamed: call.val.call.request.streamed,
      deadline: caller.deadline,
      clock,
      onText: (sinceStart, sinceLast) => {
        if (sinceLast === undefined) metrics.firstToken.observe({ kind: labels.kind }, sinceStart / millisecondsPerSecond)
        else metrics.betweenTokens.observe({ kind: labels.kind }, sinceLast / millisecondsPerSecond)
      }
    })
    metrics.requests.inc({ ...labels, outcome: end.outcome })
    if (end.refusal !== undefined) metrics.refusals.inc({ code: end.refusal.code.name, run: end.refusal.run })
    else metrics.wholeAnswer.observe({ kind: labels.kind }, (clock.now() - startedAt) / millisecondsPerSecond)
    log.info('request_ended', { request: caller.id, trace: context.state.trace?.traceId, ...labels, outcome: end.outcome, code: end.refusal?.code.name, run: end.refusal?.run, milliseconds: Math.round(clock.now() - startedAt) })
  }

  /** Waits for the request's turn on its connection; false if the request is over before it, and refused where somebody is left to be told. */
  async #isPassedOn (context: Koa.Context, { id, deadline, signal }: AuthenticatedRequest): Promise<boolean> {
    const turn = this.#connections.of(context.req.socket)?.turnOf(context.res) ?? immediateTurn
    const outcome = await awaitTurn(turn, this.#options.clock, deadline)
    if (outcome === TurnOutcome.Overdue) this.#refuse(context, new Refusal(RefusalCode.DeadlineExceeded, RunState.NotRun, 'the deadline passed while answers ahead on the connection were on their way'))
    if (outcome === TurnOutcome.Closed) this.#options.log.info('request_not_passed_on', { request: id, trace: context.state.trace?.traceId })
    if (outcome !== TurnOutcome.Come) return false
    if (signal.aborted) this.#refuse(context, callerLeft())
    else if (this.#isClosing) this.#refuse(context, stopping())
    return !signal.aborted && !this.#isClosing
  }

  async #readChatCall (context: Koa.Context, caller: AuthenticatedRequest): Promise<Result<{ readonly call: ChatCall, readonly includeUsage: boolean }, Refusal>> {
    const text = await readBoundedBody(context.req, { maximumBytes: this.#options.maximumBodyBytes })
    if (text.err) return text
    const body = readChatBody(text.val.toString('utf8'), {
      id: caller.id,
      organisation: caller.organisation.name,
      kinds: this.#options.settings.view.kinds,
      priority: context.get('x-lavenderdoor-priority') || undefined,
      deadline: caller.deadline
    })
    if (body.err) return body
    const session = this.#readSession(context.get('x-lavenderdoor-session'), caller.organisation.name)
    if (session.err) return session
    const key = idempotencyKeyOf(context)
    if (key.err) return key
    const billId = key.val === undefined ? caller.id : `${caller.organisation.name}/${key.val}`
    const call = { request: body.val.request, organisation: caller.organisation, session: session.val, billId, parent: context.state.trace }
    return Ok({ call, includeUsage: body.val.includeUsage })
  }

  #readSession (header: string, organisation: string): Result<ChatCall['session'], Refusal> {
    if (header === '') return Ok(SessionRequest.None)
    if (header === 'new') return Ok(SessionRequest.Start)
    return this.#options.sessions.read(header, organisation)
  }

  async #respondService (context: Koa.Context, caller: AuthenticatedRequest, service: string, path: string): Promise<void> {
    const operations = this.#options.settings.view.services.get(service)
    if (operations === undefined || !caller.organisation.settings.services.includes(service)) {
      return this.#refuse(context, new Refusal(RefusalCode.ServiceNotFound, RunState.NotRun, `service ${JSON.stringify(service)} does not exist or is not available to this organisation`))
    }
    const request = await this.#readServiceRequest(context, caller, service, path, operations)
    if (request.err) return this.#refuse(context, request.val)
    if (!(await this.#isPassedOn(context, caller))) return
    const answer = await this.#options.services.answer(request.val, caller.signal)
    const labels = { organisation: caller.organisation.name, kind: 'service' }
    if (answer.err) {
      this.#options.metrics.requests.inc({ ...labels, outcome: 'refused' })
      return this.#refuse(context, answer.val)
    }
    this.#options.metrics.requests.inc({ ...labels, outcome: 'answered' })
    context.status = answer.val.status
    context.set('content-type', answer.val.contentType)
    context.body = Buffer.from(answer.val.body, 'base64')
  }

  async #readServiceRequest (context: Koa.Context, caller: AuthenticatedRequest, service: string, path: string, operations: readonly OperationSettings[]): Promise<Result<ServiceRequest, Refusal>> {
    const body = await readBoundedBody(context.req, { maximumBytes: this.#options.maximumBodyBytes })
    if (body.err) return body
    const key = idempotencyKeyOf(context)
    if (key.err) return key
    return Ok({
      id: caller.id,
      organisation: caller.organisation,
      service,
      method: context.method,
      path: `${path}${context.search}`,
      idempotent: isIdempotent(operations, context.method, path),
      contentType: context.get('content-type') || undefined,
      body: body.val.length === 0 ? undefined : body.val,
      idempotencyKey: key.val,
      deadline: caller.deadline,
      parent: context.state.trace
    })
  }

  #refuse (context: Koa.Context, refusal: Refusal): void {
    this.#options.metrics.refusals.inc({ code: refusal.code.name, run: refusal.run })
    context.status = refusal.status
    if (refusal.retryAfterSeconds !== undefined) context.set('retry-after', String(Math.ceil(refusal.retryAfterSeconds)))
    const isBodyUnread = refusal.code === RefusalCode.BodyTooLarge || refusal.code === RefusalCode.RequestTimeout || (refusal.code === RefusalCode.Overloaded && !context.req.complete)
    if (isBodyUnread) context.set('connection', 'close')
    context.body = errorBody(refusal)
  }
}

function idempotencyKeyOf (context: Koa.Context): Result<string | undefined, Refusal> {
  const key = context.get('idempotency-key')
  if (key === '') return Ok(undefined)
  if (key.length <= maximumIdempotencyKeyCharacters) return Ok(key)
  return Err(new Refusal(RefusalCode.InvalidRequest, RunState.NotRun, `the Idempotency-Key header has more than ${maximumIdempotencyKeyCharacters} characters`))
}

function stopping (): Refusal {
  return new Refusal(RefusalCode.Stopping, RunState.NotRun, 'this VM is stopping', 1)
}
