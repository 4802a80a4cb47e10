/** A plain service with several runners and one record of what it ran, and each daemon's client of it. */
import { type Clock, type EndpointDescription, Err, Ok, type Randomness, type Result } from '../../src/contract/index.ts'
import { AttemptFailure, DeliveryState, type ServiceResponse, type ServiceCall, type ServiceClient } from '../../src/endpoint/index.ts'
import type { ProcessGate } from './processGate.ts'

/** One run in the service's own record. */
export interface ServiceRun {
  readonly key: string
  /** The daemon that sent it; a caller takes each attempt at one key to another daemon. */
  readonly daemon: string
  readonly at: number
}

const longestConnectMilliseconds = 20
const longestWorkMilliseconds = 80
const longestLateMilliseconds = 4_000
const silenceMilliseconds = 2_000

/** The service. */
export class ServiceFarm {
  readonly runs: ServiceRun[] = []
  /** The share of calls that something befalls. */
  faultShare = 0
  readonly #clock: Clock
  readonly #randomness: Randomness
  readonly #answers = new Map<string, ServiceResponse>()

  constructor (clock: Clock, randomness: Randomness) {
    this.#clock = clock
    this.#randomness = randomness
  }

  /** The client of one daemon. */
  clientFor (daemon: string, clock: Clock, gate: ProcessGate, reaches: (endpoint: EndpointDescription) => boolean): ServiceClient {
    return {
      call: (endpoint, call, mayStillSend) => gate.step(() => this.#call(daemon, clock, () => reaches(endpoint), call, mayStillSend)),
      lookUpRun: (endpoint, key) => gate.step(() => this.#hasRun(clock, () => reaches(endpoint), key))
    }
  }

  async #call (daemon: string, clock: Clock, reaches: () => boolean, call: ServiceCall, mayStillSend: () => boolean): Promise<Result<ServiceResponse, AttemptFailure>> {
    await clock.sleep(this.#randomness.below(longestConnectMilliseconds))
    if (!reaches()) return Err(new AttemptFailure(DeliveryState.NotSent, 'no connection'))
    if (!mayStillSend()) return Err(new AttemptFailure(DeliveryState.NotSent, 'too late to send'))
    const befalls = this.#randomness.fraction() < this.faultShare ? this.#randomness.below(3) : undefined
    const work = this.#randomness.below(longestWorkMilliseconds)
    const late = befalls === 0 ? this.#randomness.below(longestLateMilliseconds) : work
    const answering = befalls === 1 ? undefined : this.#clock.sleep(late).then(() => this.#run(daemon, call))
    if (befalls !== undefined || answering === undefined) {
      await clock.sleep(silenceMilliseconds)
      return Err(new AttemptFailure(DeliveryState.PossiblySent, 'no answer came'))
    }
    const answer = await answering
    return reaches() ? Ok(answer) : Err(new AttemptFailure(DeliveryState.PossiblySent, 'the connection broke'))
  }

  async #hasRun (clock: Clock, reaches: () => boolean, key: string): Promise<Result<ServiceResponse | 'not_run' | undefined, AttemptFailure>> {
    await clock.sleep(this.#randomness.below(longestConnectMilliseconds))
    if (!reaches()) return Err(new AttemptFailure(DeliveryState.NotSent, 'no connection'))
    return Ok(this.#answers.get(key) ?? 'not_run')
  }

  #run (daemon: string, call: ServiceCall): ServiceResponse {
    const key = call.idempotencyKey ?? ''
    const number = this.runs.push({ key, daemon, at: this.#clock.now() })
    const answer = { status: 201, contentType: 'application/json', body: Buffer.from(JSON.stringify({ run: number, key })) }
    if (!this.#answers.has(key)) this.#answers.set(key, answer)
    return answer
  }
}
