/** One randomised run in rounds of fixed virtual length; a seed gives the same rounds each time. */
import { invariantCounts, SeededRandomness } from '../../src/contract/index.ts'
import { Disturbances } from './disturbances.ts'
import { Faults } from './faults.ts'
import { Fleet } from './fleet.ts'
import { Judge } from './judge.ts'
import type { Mechanism } from './mechanisms.ts'
import { Operators } from './operators.ts'
import { Traffic } from './traffic.ts'
import { VirtualClock } from './virtualClock.ts'

const stormMilliseconds = 40_000
const calmMilliseconds = 50_000
const sampleMilliseconds = 250
const faultsInRound = 6
const requestsInRound = 160
const chatShare = 0.65

/** What a run found. */
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

/** Runs rounds of faults over a fleet. */
export class ProveRun {
  readonly clock = new VirtualClock()
  readonly #fleet: Fleet
  readonly #randomness: SeededRandomness
  readonly #disturbances = new Disturbances()
  readonly #traffic: Traffic
  readonly #operators: Operators
  readonly #faults: Faults
  readonly #judge: Judge
  #rounds = 0
  #requests = 0
  #answered = 0

  constructor (seed: number, without: Mechanism | undefined) {
    this.#randomness = new SeededRandomness(seed)
    this.#fleet = new Fleet(this.clock, seed, without)
    this.#traffic = new Traffic(this.#fleet, new SeededRandomness(seed + 10))
    this.#operators = new Operators(this.#fleet, new SeededRandomness(seed + 11))
    this.#faults = new Faults({ fleet: this.#fleet, traffic: this.#traffic, operators: this.#operators, disturbances: this.#disturbances, randomness: new SeededRandomness(seed + 12) })
    this.#judge = new Judge({ fleet: this.#fleet, traffic: this.#traffic, operators: this.#operators, faults: this.#faults, disturbances: this.#disturbances })
  }

  /** Notes what broke outside any request. */
  broken (error: unknown): void {
    this.#judge.invariantBroken(error instanceof Error ? `${error.message}` : String(error))
  }

  async start (): Promise<void> {
    await this.#fleet.start()
  }

  /** One round: a storm of faults under requests, calm, and judgement. */
  async round (): Promise<void> {
    this.#rounds += 1
    this.#faults.beginRound()
    for (let count = 0; count < faultsInRound; count++) this.#at(this.#randomness.below(stormMilliseconds - 10_000), () => this.#faults.strike())
    for (let count = 0; count < requestsInRound; count++) this.#at(this.#randomness.below(stormMilliseconds), () => this.#request())
    await this.#advance(stormMilliseconds)
    this.#faults.endRound()
    await this.#advance(calmMilliseconds)
    await this.#judge.judge()
    this.#forget()
  }

  report (): RunReport {
    return {
      rounds: this.#rounds,
      requests: this.#requests,
      answered: this.#answered,
      faults: Object.fromEntries([...this.#faults.counts].sort()),
      checks: Object.fromEntries([...this.#judge.checks].sort()),
      violations: Object.fromEntries([...this.#judge.violations].sort()),
      invariants: Object.fromEntries([...invariantCounts()].sort()),
      evidence: this.#judge.evidence
    }
  }

  #request (): Promise<void> {
    return this.#randomness.fraction() < chatShare ? this.#traffic.chat() : this.#traffic.refund()
  }

  #at (delay: number, work: () => Promise<void>): void {
    this.clock.sleep(delay).then(work).catch(error => this.broken(error))
  }

  async #advance (milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += sampleMilliseconds) {
      await this.clock.advance(sampleMilliseconds)
      this.#judge.sampleSettings()
    }
  }

  #forget (): void {
    const records = [...this.#traffic.chats, ...this.#traffic.refunds]
    this.#requests += records.length
    this.#answered += records.filter(record => record.end === 'whole').length
    this.#traffic.clear()
    this.#disturbances.forgetBefore(this.clock.now() - stormMilliseconds)
  }
}
