/** A simulated service with several endpoints and one record of its runs, and the client of each daemon. */
import { type Clock, type EndpointDescription, Err, Ok, type Randomness, type Result } from '../../src/contract/index.ts'
import { AttemptFailure, DeliveryState, type ServiceResponse, type ServiceCall, type ServiceClient } from '../../src/endpoint/index.ts'
import type { ProcessGate } from './processGate.ts'

/** One run of a call, recorded by the service. */
export interface ServiceRun {
  readonly key: string
  /** The daemon that sent the call; a caller sends each attempt with the same key to a different daemon. */
  readonly daemon: string
  readonly at: number
}

const maximumConnectMilliseconds = 20
const maximumWorkMilliseconds = 80
const maximumLateMilliseconds = 4_000
const inactivityTimeoutMilliseconds = 2_000

export class SimulatedServices {
  readonly runs: ServiceRun[] = []
  /** Share of calls that are affected by a fault, 0 to 1. */
  faultShare = 0
  readonly #clock: Clock
  readonly #randomness: Randomness
  readonly #answersByKey = new Map<string, ServiceResponse>()

  constructor (clock: Clock, randomness: Randomness) {
    this.#clock = clock
    this.#randomness = randomness
  }

  /** The service client of one daemon. */
  clientFor (daemon: string, clock: Clock, gate: ProcessGate, isReachable: (endpoint: EndpointDescription) => boolean): ServiceClient {
    return {
      call: (endpoint, call, mayStillSend) => gate.runStep(() => this.#call(daemon, clock, () => isReachable(endpoint), call, mayStillSend)),
      lookUpRun: (endpoint, key) => gate.runStep(() => this.#lookUpRun(clock, () => isReachable(endpoint), key))
    }
  }

  async #call (daemon: string, clock: Clock, isReachable: () => boolean, call: ServiceCall, mayStillSend: () => boolean): Promise<Result<ServiceResponse, AttemptFailure>> {
    await clock.sleep(this.#randomness.integerBelow(maximumConnectMilliseconds))
    if (!isReachable()) return Err(new AttemptFailure(DeliveryState.NotSent, 'service is not reachable'))
    if (!mayStillSend()) return Err(new AttemptFailure(DeliveryState.NotSent, 'call was not sent: sending is no longer allowed'))
    const fault = this.#randomness.fraction() < this.faultShare ? this.#randomness.integerBelow(3) : undefined
    const workMilliseconds = this.#randomness.integerBelow(maximumWorkMilliseconds)
    const delayMilliseconds = fault === 0 ? this.#randomness.integerBelow(maximumLateMilliseconds) : workMilliseconds
    const pendingAnswer = fault === 1 ? undefined : this.#clock.sleep(delayMilliseconds).then(() => this.#run(daemon, call))
    if (fault !== undefined || pendingAnswer === undefined) {
      await clock.sleep(inactivityTimeoutMilliseconds)
      return Err(new AttemptFailure(DeliveryState.PossiblySent, 'service did not answer within the inactivity timeout'))
    }
    const answer = await pendingAnswer
    return isReachable() ? Ok(answer) : Err(new AttemptFailure(DeliveryState.PossiblySent, 'connection failed before the answer arrived'))
  }

  async #lookUpRun (clock: Clock, isReachable: () => boolean, key: string): Promise<Result<ServiceResponse | 'not_run' | undefined, AttemptFailure>> {
    await clock.sleep(this.#randomness.integerBelow(maximumConnectMilliseconds))
    if (!isReachable()) return Err(new AttemptFailure(DeliveryState.NotSent, 'service is not reachable'))
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
