/** Operators who change the candidate version, sometimes two at once, and when each state was in force. */
import type { Randomness } from '../../src/contract/index.ts'
import { type Fleet, fleetSubtree } from './fleet.ts'

/** What new work the candidate version may get. */
export const CandidateState = {
  Open: 'open',
  /** No new sessions; those that have it keep it. */
  Halted: 'halted',
  /** Nothing new at all. */
  Withdrawn: 'withdrawn'
} as const
export type CandidateState = typeof CandidateState[keyof typeof CandidateState]

/** An accepted change. */
export interface AcceptedChange {
  readonly revision: number
  readonly state: CandidateState
  /** Between these two moments it came into force in the store. */
  readonly issuedAt: number
  readonly acceptedAt: number
}

/** The operators of a run. */
export class Operators {
  readonly accepted: AcceptedChange[] = []
  /** Races in which not exactly one was accepted. */
  readonly invalidRaces: unknown[] = []
  /** From this moment on it is not known which state is in force. */
  uncertainSince: number | undefined
  readonly #fleet: Fleet
  readonly #randomness: Randomness

  constructor (fleet: Fleet, randomness: Randomness) {
    this.#fleet = fleet
    this.#randomness = randomness
  }

  /** Puts a state in force. */
  async setState (state: CandidateState): Promise<void> {
    const expected = await this.#readRevision()
    if (expected !== undefined) await this.#putState(state, expected)
  }

  /** Two operators change the same revision at once. */
  async raceChanges (): Promise<void> {
    const expected = await this.#readRevision()
    if (expected === undefined) return
    const states = Object.values(CandidateState)
    const requestedStates = [states[this.#randomness.integerBelow(3)] ?? 'open', states[this.#randomness.integerBelow(3)] ?? 'open'] as const
    const outcomes = await Promise.all(requestedStates.map(state => this.#putState(state, expected)))
    const acceptedCount = outcomes.filter(outcome => outcome === 'accepted').length
    if (acceptedCount === 1 || outcomes.includes('untold')) return
    // Neither wins where a third change came before both, or the store was out.
    const currentRevision = acceptedCount === 0 ? await this.#readRevision() : expected
    if (currentRevision === expected && !outcomes.includes('unavailable')) this.invalidRaces.push({ expected, outcomes })
  }

  async #readRevision (): Promise<number | undefined> {
    const read = await this.#fleet.settingsRepository.read('fleet')
    return read.ok ? read.val.revision : undefined
  }

  async #putState (state: CandidateState, expected: number): Promise<'accepted' | 'refused' | 'unavailable' | 'untold'> {
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
    return put.val.mayHaveApplied ? 'untold' : 'unavailable'
  }
}
