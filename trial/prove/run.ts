/** A randomised run in rounds of fixed virtual duration; a seed always gives the same rounds. */
import { invariantCounts, SeededRandomness } from '../../src/contract/index.ts'
import { Disturbances } from './disturbances.ts'
import { FaultInjector } from './faultInjector.ts'
import { Fleet } from './fleet.ts'
import { GuaranteeChecker } from './guaranteeChecker.ts'
import type { Mechanism } from './mechanisms.ts'
import { Operators } from './operators.ts'
import { Traffic } from './traffic.ts'
import { VirtualClock } from './virtualClock.ts'

const faultPhaseMilliseconds = 40_000
const recoveryPhaseMilliseconds = 50_000
const sampleIntervalMilliseconds = 250
const faultsPerRound = 6
const requestsPerRound = 160
const chatShare = 0.65

/** The results of a run. */
export interface RunReport {
  readonly rounds: number
  readonly requests: number
  readonly answered: number
  readonly faults: Readonly<Record<string, number>>
  readonly checks: Readonly<Record<string, number>>
  readonly violations: Readonly<Record<string, number>>
  readonly invariants: Readonly<Record<string, number>>
  readonly evidence: readonly string[]
}

export class ProveRun {
  readonly clock = new VirtualClock()
  readonly #fleet: Fleet
  readonly #randomness: SeededRandomness
  readonly #disturbances = new Disturbances()
  readonly #traffic: Traffic
  readonly #operators: Operators
  readonly #faultInjector: FaultInjector
  readonly #guaranteeChecker: GuaranteeChecker
  #roundCount = 0
  #requestCount = 0
  #answeredCount = 0

  constructor (seed: number, disabledMechanism: Mechanism | undefined) {
    this.#randomness = new SeededRandomness(seed)
    this.#fleet = new Fleet(this.clock, seed, disabledMechanism)
    this.#traffic = new Traffic(this.#fleet, new SeededRandomness(seed + 10))
    this.#operators = new Operators(this.#fleet, new SeededRandomness(seed + 11))
    this.#faultInjector = new FaultInjector({ fleet: this.#fleet, traffic: this.#traffic, operators: this.#operators, disturbances: this.#disturbances, randomness: new SeededRandomness(seed + 12) })
    this.#guaranteeChecker = new GuaranteeChecker({ fleet: this.#fleet, traffic: this.#traffic, operators: this.#operators, faultInjector: this.#faultInjector, disturbances: this.#disturbances })
  }

  /** Records an error outside any request as a violated invariant. */
  recordError (error: unknown): void {
    this.#guaranteeChecker.recordInvariantViolation(error instanceof Error ? `${error.message}` : String(error))
  }

  async start (): Promise<void> {
    await this.#fleet.start()
  }

  /** Runs one round: a phase of requests and faults, a recovery phase and the checks. */
  async runRound (): Promise<void> {
    this.#roundCount += 1
    this.#faultInjector.beginRound()
    for (let count = 0; count < faultsPerRound; count++) this.#schedule(this.#randomness.integerBelow(faultPhaseMilliseconds - 10_000), () => this.#faultInjector.injectFault())
    for (let count = 0; count < requestsPerRound; count++) this.#schedule(this.#randomness.integerBelow(faultPhaseMilliseconds), () => this.#sendRequest())
    await this.#advance(faultPhaseMilliseconds)
    this.#faultInjector.endRound()
    await this.#advance(recoveryPhaseMilliseconds)
    await this.#guaranteeChecker.checkRound()
    this.#discardRound()
  }

  report (): RunReport {
    return {
      rounds: this.#roundCount,
      requests: this.#requestCount,
      answered: this.#answeredCount,
      faults: Object.fromEntries([...this.#faultInjector.counts].sort()),
      checks: Object.fromEntries([...this.#guaranteeChecker.checks].sort()),
      violations: Object.fromEntries([...this.#guaranteeChecker.violations].sort()),
      invariants: Object.fromEntries([...invariantCounts()].sort()),
      evidence: this.#guaranteeChecker.evidence
    }
  }

  #sendRequest (): Promise<void> {
    return this.#randomness.fraction() < chatShare ? this.#traffic.chat() : this.#traffic.refund()
  }

  #schedule (delayMilliseconds: number, work: () => Promise<void>): void {
    this.clock.sleep(delayMilliseconds).then(work).catch(error => this.recordError(error))
  }

  async #advance (milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += sampleIntervalMilliseconds) {
      await this.clock.advance(sampleIntervalMilliseconds)
      this.#guaranteeChecker.checkSettings()
    }
  }

  #discardRound (): void {
    const records = [...this.#traffic.chats, ...this.#traffic.refunds]
    this.#requestCount += records.length
    this.#answeredCount += records.filter(record => record.outcome === 'whole').length
    this.#traffic.clear()
    this.#disturbances.discardBefore(this.clock.now() - faultPhaseMilliseconds)
  }
}
