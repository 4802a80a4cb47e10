/**
 * The sessions that stay on a roll-out's old version, as the rows of all daemons list them. A daemon pins
 * the sessions that it serves when the roll-out begins; one that stopped shortly before has handed its
 * sessions over, and these are pinned as well while they may still be continued.
 */
import { getOrCreate } from '../contract/index.ts'
import type { RollOutPins, SessionHandOver } from '../routing/index.ts'

const noSessions: ReadonlySet<string> = new Set()

/** What identifies a roll-out's sessions. */
export interface PinnedRollOut {
  readonly service: string
  readonly toVersion: string
  /** The store's steady clock at the roll-out's start, in milliseconds; undefined before its start is known. */
  readonly startedAt: number | undefined
}

/** An immutable set of pinned and handed-over sessions. */
export class PinnedSessions {
  readonly #pins: readonly RollOutPins[]
  readonly #handOvers: readonly SessionHandOver[]
  readonly #sessionTimeoutMilliseconds: number
  readonly #sessionsByRollOut = new Map<string, ReadonlySet<string>>()

  /** @param sessionTimeoutMilliseconds maximum time between two requests of one session */
  constructor (pins: readonly RollOutPins[], handOvers: readonly SessionHandOver[], sessionTimeoutMilliseconds: number) {
    this.#pins = pins
    this.#handOvers = handOvers
    this.#sessionTimeoutMilliseconds = sessionTimeoutMilliseconds
  }

  /**
   * Returns the sessions pinned to the old version of a roll-out.
   *
   * @example
   * const pinned = pinnedSessions.of({ service: 'engines', toVersion: 'v2', startedAt: status.startedAt })
   */
  of (rollOut: PinnedRollOut): ReadonlySet<string> {
    const key = `${rollOut.service}\n${rollOut.toVersion}\n${rollOut.startedAt}`
    return getOrCreate(this.#sessionsByRollOut, key, () => this.#collect(rollOut))
  }

  #collect ({ service, toVersion, startedAt }: PinnedRollOut): ReadonlySet<string> {
    const pins = this.#pins.filter(pin => pin.service === service && pin.toVersion === toVersion)
    const handOvers = startedAt === undefined ? [] : this.#handOvers.filter(({ listedAt }) => startedAt - listedAt <= this.#sessionTimeoutMilliseconds)
    const listed = [...pins, ...handOvers]
    return listed.length === 0 ? noSessions : new Set(listed.flatMap(({ sessions }) => sessions))
  }
}
