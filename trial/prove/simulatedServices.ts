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

const maximumConnectMilliseconds = 20
const maximumWorkMilliseconds = 80
const maximumLateMilliseconds = 4_000
const inactivityTimeoutMilliseconds = 2_000

/** The service. */
export class SimulatedServices {
  readonly runs: ServiceRun[] = []
  /** The share of calls that something befalls. */
  faultShare = 0
  readonly #clock: Clock
  readonly #randomness: Randomness
  readonly #answersByKey = new Map<string, ServiceResponse>()

  constructor (clock: Clock, randomness: Randomness) {
    this.#clock = clock
    this.#randomness = randomness
  }

  /** The client of one daemon. */
  clientFor (daemon: string, clock: Clock, gate: ProcessGate, isReachable: (endpoint: EndpointDescription) => boolean): ServiceClient {
    return {
      call: (endpoint, call, mayStillSend) => gate.runStep(() => this.#call(daemon, clock, () => isReachable(endpoint), call, mayStillSend)),
      lookUpRun: (endpoint, key) => gate.runStep(() => this.#lookUpRun(clock, () => isReachable(endpoint), key))
    }
  }

  async #call (daemon: string, clock: Clock, isReachable: () => boolean, call: ServiceCall, mayStillSend: () => boolean): Promise<Result<ServiceResponse, AttemptFailure>> {
    await clock.sleep(this.#randomness.integerBelow(maximumConnectMilliseconds))
    if (!isReachable()) return Err(new AttemptFailure(DeliveryState.NotSent, 'no connection'))
    if (!mayStillSend()) return Err(new AttemptFailure(DeliveryState.NotSent, 'too late to send'))
    const fault = this.#randomness.fraction() < this.faultShare ? this.#randomness.integerBelow(3) : undefined
    const workMilliseconds = this.#randomness.integerBelow(maximumWorkMilliseconds)
    const delayMilliseconds = fault === 0 ? this.#randomness.integerBelow(maximumLateMilliseconds) : workMilliseconds
    const pendingAnswer = fault === 1 ? undefined : this.#clock.sleep(delayMilliseconds).then(() => this.#run(daemon, call))
    if (fault !== undefined || pendingAnswer === undefined) {
      await clock.sleep(inactivityTimeoutMilliseconds)
      return Err(new AttemptFailure(DeliveryState.PossiblySent, 'no answer came'))
    }
    const answer = await pendingAnswer
    return isReachable() ? Ok(answer) : Err(new AttemptFailure(DeliveryState.PossiblySent, 'the connection broke'))
  }

  async #lookUpRun (clock: Clock, isReachable: () => boolean, key: string): Promise<Result<ServiceResponse | 'not_run' | undefined, AttemptFailure>> {
    await clock.sleep(this.#randomness.integerBelow(maximumConnectMilliseconds))
    if (!isReachable()) return Err(new AttemptFailure(DeliveryState.NotSent, 'no connection'))
    return Ok(this.#answersByKey.get(key) ?? 'not_run')
  }

  #run (daemon: string, call: ServiceCall): ServiceResponse {
    const key = call.idempotencyKey ?? ''
    const runNumber = this.runs.push({ key, daemon, at: this.#clock.now() })
    const answer = { status: 201, contentType: 'application/json', body: Buffer.from(JSON.stringify({ run: runNumber, key })) }
    if (!this.#answersByKey.has(key)) this.#answersByKey.set(key, answer)
    return answer
  }
}
