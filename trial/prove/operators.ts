/** Simulates operators who change the state of the candidate version, sometimes two at once, and records when each state was in force. */
import type { Randomness } from '../../src/contract/index.ts'
import { type Fleet, fleetSubtree } from './fleet.ts'

/** The new requests that the candidate version may receive. */
export const CandidateState = {
  Open: 'open',
  /** No new sessions; existing sessions keep the version. */
  Halted: 'halted',
  /** No new requests. */
  Withdrawn: 'withdrawn'
} as const
export type CandidateState = typeof CandidateState[keyof typeof CandidateState]

export interface AcceptedChange {
  readonly revision: number
  readonly state: CandidateState
  /** The store committed the change between `issuedAt` and `acceptedAt`. */
  readonly issuedAt: number
  readonly acceptedAt: number
}

export class Operators {
  readonly accepted: AcceptedChange[] = []
  /** Races in which the number of accepted changes was not one, without another explanation. */
  readonly invalidRaces: unknown[] = []
  /** Since this time it is unknown which state is in force, because the outcome of a change is unknown. */
  uncertainSince: number | undefined
  readonly #fleet: Fleet
  readonly #randomness: Randomness

  constructor (fleet: Fleet, randomness: Randomness) {
    this.#fleet = fleet
    this.#randomness = randomness
  }

  /** Changes the state of the candidate version. */
  async setState (state: CandidateState): Promise<void> {
    const expected = await this.#readRevision()
    if (expected !== undefined) await this.#putState(state, expected)
  }

  /** Lets two operators change the same revision at once; exactly one must succeed. */
  async raceChanges (): Promise<void> {
    const expected = await this.#readRevision()
    if (expected === undefined) return
    const states = Object.values(CandidateState)
    const requestedStates = [states[this.#randomness.integerBelow(3)] ?? 'open', states[this.#randomness.integerBelow(3)] ?? 'open'] as const
    const outcomes = await Promise.all(requestedStates.map(state => this.#putState(state, expected)))
    const acceptedCount = outcomes.filter(outcome => outcome === 'accepted').length
    if (acceptedCount === 1 || outcomes.includes('unknown')) return
    // Neither succeeds if a third change came before both or the store was unavailable.
    const currentRevision = acceptedCount === 0 ? await this.#readRevision() : expected
    if (currentRevision === expected && !outcomes.includes('unavailable')) this.invalidRaces.push({ expected, outcomes })
  }

  async #readRevision (): Promise<number | undefined> {
    const read = await this.#fleet.settingsRepository.read('fleet')
    return read.ok ? read.val.revision : undefined
  }

  async #putState (state: CandidateState, expected: number): Promise<'accepted' | 'refused' | 'unavailable' | 'unknown'> {
    const issuedAt = this.#fleet.clock.now()
    const subtree = fleetSubtree({ candidate: state === CandidateState.Withdrawn ? 'withdrawn' : 'candidate', rollOut: state === CandidateState.Open ? 'running' : 'halted' })
    const put = await this.#fleet.settingsRepository.put('fleet', subtree, { expected, author: 'ines' })
    if (put.ok) {
      this.accepted.push({ revision: put.val, state, issuedAt, acceptedAt: this.#fleet.clock.now() })
      this.accepted.sort((left, right) => left.revision - right.revision)
      this.uncertainSince = undefined
      return 'accepted'
    }
    if (put.val.reason !== 'unavailable') return 'refused'
    if (put.val.mayHaveApplied) this.uncertainSince ??= issuedAt
    return put.val.mayHaveApplied ? 'unknown' : 'unavailable'
  }
}
