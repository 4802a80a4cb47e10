/**
 * A plain service in process, behind the face of its client. Each call asks a script what befalls
 * it; `runs` is the judge's truth of what the service did, whatever its caller was told.
 */
import { type Clock, type EndpointDescription, Err, Ok, type Result } from '../../src/contract/index.ts'
import { AttemptFailure, DeliveryState, type ServiceResponse, type ServiceCall, type ServiceClient } from '../../src/endpoint/index.ts'

/** What befalls one call. */
export const ServiceFate = {
  Answer: 'answer',
  /** The connection is refused: it never runs, and the caller knows. */
  Refuse: 'refuse',
  /** It dies before it runs: the caller can't tell. */
  LoseRequest: 'lose_request',
  /** It runs and the reply is lost: the caller can't tell. */
  LoseReply: 'lose_reply',
  /** The connection breaks, and what was written arrives and runs `late` milliseconds afterwards. */
  RunLate: 'run_late',
  /** It runs and never answers; the caller leaves by its signal. */
  Hang: 'hang'
} as const
export type ServiceFate = typeof ServiceFate[keyof typeof ServiceFate]

/** What befalls one call, and its times in milliseconds. */
export interface ScriptedServiceFate {
  readonly fate: ServiceFate
  /** Until the connection stands and the first byte is written. */
  readonly connect?: number
  /** From the first byte to the reply or the break. */
  readonly work?: number
  /** From the break to a late run. */
  readonly late?: number
}

/** One run, as the service saw it. */
export interface FakeServiceRun {
  readonly endpoint: string
  readonly idempotencyKey: string | undefined
  readonly path: string
  readonly body: string
  /** Milliseconds of the clock. */
  readonly at: number
}

const answeredStatus = 201

export class FakeServiceClient implements ServiceClient {
  /** Every run, in order. */
  readonly runs: FakeServiceRun[] = []
  /** Whether the service can say which keys it has run. */
  tellsRuns = true
  /** Says what befalls each call. */
  script: (call: ServiceCall, endpoint: EndpointDescription) => ScriptedServiceFate = () => ({ fate: ServiceFate.Answer })
  readonly #clock: Clock
  readonly #answers = new Map<string, ServiceResponse>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  async call (endpoint: EndpointDescription, call: ServiceCall, mayStillSend: () => boolean, signal: AbortSignal): Promise<Result<ServiceResponse, AttemptFailure>> {
    const scripted = this.script(call, endpoint)
    await this.#clock.sleep(scripted.connect ?? 0, signal)
    const isRefused = scripted.fate === ServiceFate.Refuse
    if (isRefused || signal.aborted || !mayStillSend()) return Err(new AttemptFailure(DeliveryState.NotSent, 'not sent'))
    const outcome = this.#arrive(endpoint, call, scripted)
    if (scripted.fate === ServiceFate.Hang) await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve()))
    else await this.#clock.sleep(scripted.work ?? 0, signal)
    if (outcome === undefined || signal.aborted) return Err(new AttemptFailure(DeliveryState.PossiblySent, scripted.fate))
    return Ok(outcome)
  }

  async lookUpRun (_endpoint: EndpointDescription, idempotencyKey: string): Promise<Result<ServiceResponse | 'not_run' | undefined, AttemptFailure>> {
    await this.#clock.sleep(0)
    if (!this.tellsRuns) return Ok(undefined)
    return Ok(this.#answers.get(idempotencyKey) ?? 'not_run')
  }

  /** What reaches the service, and the reply that reaches the caller. */
  #arrive (endpoint: EndpointDescription, call: ServiceCall, scripted: ScriptedServiceFate): ServiceResponse | undefined {
    if (scripted.fate === ServiceFate.LoseRequest) return undefined
    if (scripted.fate === ServiceFate.RunLate) {
      const arrival = (scripted.work ?? 0) + (scripted.late ?? 0)
      this.#clock.sleep(arrival).then(() => this.#run(endpoint, call)).catch(() => undefined)
      return undefined
    }
    const answer = this.#run(endpoint, call)
    return scripted.fate === ServiceFate.Answer ? answer : undefined
  }

  #run (endpoint: EndpointDescription, call: ServiceCall): ServiceResponse {
    const body = Buffer.from(call.body ?? []).toString('utf8')
    const number = this.runs.push({ endpoint: endpoint.name, idempotencyKey: call.idempotencyKey, path: call.path, body, at: this.#clock.now() })
    const answer = { status: answeredStatus, contentType: 'application/json', body: Buffer.from(JSON.stringify({ run: number })) }
    if (call.idempotencyKey !== undefined && !this.#answers.has(call.idempotencyKey)) this.#answers.set(call.idempotencyKey, answer)
    return answer
  }
}
