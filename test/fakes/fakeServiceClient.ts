/**
 * An in-process service that implements the service client's interface. A script decides the fault of
 * each call, and `runs` records what the service really did, whatever its caller was told.
 */
import { type Clock, type EndpointDescription, Err, Ok, type Result } from '../../src/contract/index.ts'
import { AttemptFailure, DeliveryState, type ServiceResponse, type ServiceCall, type ServiceClient } from '../../src/endpoint/index.ts'

/** The fault of one call. */
export const ServiceFault = {
  None: 'answer',
  /** The connection is refused: the call never runs, and the caller knows it. */
  Refuse: 'refuse',
  /** The request is lost before it runs: the caller can't tell. */
  LoseRequest: 'lose_request',
  /** The call runs and its reply is lost: the caller can't tell. */
  LoseReply: 'lose_reply',
  /** The connection breaks, and the request still runs `lateRunDelayMilliseconds` afterwards. */
  RunLate: 'run_late',
  /** The call runs and is never answered; the caller aborts it. */
  Hang: 'hang'
} as const
export type ServiceFault = typeof ServiceFault[keyof typeof ServiceFault]

/** The fault of one call and its timing. */
export interface ScriptedServiceFault {
  readonly fault: ServiceFault
  /** Time until the connection is established and the first byte is written. */
  readonly connectMilliseconds?: number
  /** Time from the first byte to the reply or to the loss of the connection. */
  readonly workMilliseconds?: number
  /** Time from the loss of the connection to a late run. */
  readonly lateRunDelayMilliseconds?: number
}

/** One run, as the service recorded it. */
export interface FakeServiceRun {
  readonly endpoint: string
  readonly idempotencyKey: string | undefined
  readonly path: string
  readonly body: string
  /** Clock time in milliseconds. */
  readonly startedAt: number
}

const successStatus = 201

export class FakeServiceClient implements ServiceClient {
  /** All runs, in order. */
  readonly runs: FakeServiceRun[] = []
  /** Whether the service can tell which idempotency keys it has run. */
  supportsRunLookup = true
  /** Decides the fault of each call. */
  script: (call: ServiceCall, endpoint: EndpointDescription) => ScriptedServiceFault = () => ({ fault: ServiceFault.None })
  readonly #clock: Clock
  readonly #answersByKey = new Map<string, ServiceResponse>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  async call (endpoint: EndpointDescription, call: ServiceCall, mayStillSend: () => boolean, signal: AbortSignal): Promise<Result<ServiceResponse, AttemptFailure>> {
    const scripted = this.script(call, endpoint)
    await this.#clock.sleep(scripted.connectMilliseconds ?? 0, signal)
    const isRefused = scripted.fault === ServiceFault.Refuse
    if (isRefused || signal.aborted || !mayStillSend() || call.gate?.trySend() === false) return Err(new AttemptFailure(DeliveryState.NotSent, 'not sent'))
    const outcome = this.#receive(endpoint, call, scripted)
    if (scripted.fault === ServiceFault.Hang) await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve()))
    else await this.#clock.sleep(scripted.workMilliseconds ?? 0, signal)
    if (outcome === undefined || signal.aborted) return Err(new AttemptFailure(DeliveryState.PossiblySent, scripted.fault))
    return Ok(outcome)
  }

  async lookUpRun (_endpoint: EndpointDescription, idempotencyKey: string): Promise<Result<ServiceResponse | 'not_run' | undefined, AttemptFailure>> {
    await this.#clock.sleep(0)
    if (!this.supportsRunLookup) return Ok(undefined)
    return Ok(this.#answersByKey.get(idempotencyKey) ?? 'not_run')
  }

  /** Runs the call if its request arrives; returns the reply if that reaches the caller. */
  #receive (endpoint: EndpointDescription, call: ServiceCall, scripted: ScriptedServiceFault): ServiceResponse | undefined {
    if (scripted.fault === ServiceFault.LoseRequest) return undefined
    if (scripted.fault === ServiceFault.RunLate) {
      const delayMilliseconds = (scripted.workMilliseconds ?? 0) + (scripted.lateRunDelayMilliseconds ?? 0)
      this.#clock.sleep(delayMilliseconds).then(() => this.#run(endpoint, call)).catch(() => undefined)
      return undefined
    }
    const answer = this.#run(endpoint, call)
    return scripted.fault === ServiceFault.None ? answer : undefined
  }

  #run (endpoint: EndpointDescription, call: ServiceCall): ServiceResponse {
    const body = Buffer.from(call.body ?? []).toString('utf8')
    const runNumber = this.runs.push({ endpoint: endpoint.name, idempotencyKey: call.idempotencyKey, path: call.path, body, startedAt: this.#clock.now() })
    const answer = { status: successStatus, contentType: 'application/json', body: Buffer.from(JSON.stringify({ run: runNumber })) }
    if (call.idempotencyKey !== undefined && !this.#answersByKey.has(call.idempotencyKey)) this.#answersByKey.set(call.idempotencyKey, answer)
    return answer
  }
}
