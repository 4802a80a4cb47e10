/**
 * Draws the requests of a run in advance, from the seed alone, so that every policy gets the same
 * requests at the same times. The turns of a session arrive independently of when earlier answers end,
 * and sessions that began before the run take part with their later turns. A kind's input tokens are the
 * mean over all requests: the prompt of a session begins shorter and grows with each turn.
 */
import { SeededRandomness } from '../src/contract/index.ts'
import { drawNextTurn, drawRequest, drawSessionContinues, type World, type WorldKind, type WorldRequest, type WorldUser } from './world.ts'

/** A request with its arrival time. */
export interface Arrival {
  readonly id: string
  /** Milliseconds since the run's start; negative for turns that only warm the caches. */
  readonly at: number
  readonly request: WorldRequest
  readonly session: string | undefined
  /** Index of the turn within its session, from 0. */
  readonly turn: number
  /** The caller's data centre as a fraction of the list of all data centres; the same for all turns of a session. */
  readonly callerFraction: number
  /** The receiving router as a fraction of the list of routers in the caller's region. */
  readonly routerFraction: number
}

export interface ArrivalOptions {
  readonly world: World
  readonly user: WorldUser
  readonly seed: number
  readonly requestsPerSecond: number
  readonly startMilliseconds: number
  readonly endMilliseconds: number
  /** An organisation that sends more than its share by a factor, from a given time on. */
  readonly flood?: { readonly organisation: string, readonly factor: number, readonly fromMilliseconds: number }
}

/** Mean time between two turns of a session. */
export const meanTurnGapMilliseconds = 20_000
/** Sessions that began longer than this before the run are taken to have ended. */
const maximumSessionMilliseconds = 200_000

/**
 * Draws the arrivals of a run, sorted by time.
 *
 * @example
 * const arrivals = drawArrivals({ world, user, seed: 1, requestsPerSecond: 100, startMilliseconds: 0, endMilliseconds: 60_000 })
 */
export function drawArrivals (options: ArrivalOptions): Arrival[] {
  const base = drawStream(options, options.seed, options.requestsPerSecond, options.startMilliseconds, '')
  const extra = options.flood === undefined ? [] : drawFlood(options, options.flood)
  return [...base, ...extra].sort((left, right) => left.at - right.at)
}

function drawFlood (options: ArrivalOptions, flood: NonNullable<ArrivalOptions['flood']>): Arrival[] {
  const organisations = options.user.organisations.filter(organisation => organisation.name === flood.organisation)
  const totalWeight = options.user.organisations.reduce((sum, organisation) => sum + organisation.weight, 0)
  const share = organisations.reduce((sum, organisation) => sum + organisation.weight, 0) / totalWeight
  const rate = options.requestsPerSecond * share * (flood.factor - 1)
  const user = { ...options.user, organisations }
  return drawStream({ ...options, user }, options.seed + 7_919, rate, flood.fromMilliseconds, 'flood-')
}

function drawStream (options: ArrivalOptions, seed: number, requestsPerSecond: number, startMilliseconds: number, idPrefix: string): Arrival[] {
  const randomness = new SeededRandomness(seed)
  return [...options.user.mix].flatMap(([kindName, share]) => {
    const kind = options.world.kinds.get(kindName)!
    const stream = { kind, sequencesPerSecond: requestsPerSecond * share / kind.sessionTurns, startMilliseconds, idPrefix: `${idPrefix}${kindName}-` }
    return drawKind(options, stream, randomness)
  })
}

interface KindStream {
  readonly kind: WorldKind
  /** Sessions and single requests started per second; fewer than requests, because a session counts once. */
  readonly sequencesPerSecond: number
  readonly startMilliseconds: number
  readonly idPrefix: string
}

function drawKind (options: ArrivalOptions, stream: KindStream, randomness: SeededRandomness): Arrival[] {
  const { world } = options
  const { kind, startMilliseconds } = stream
  const user = { ...options.user, mix: new Map([[kind.name, 1]]) }
  const hasSessions = kind.sessionTurns > 1
  const arrivals: Arrival[] = []
  // Only sessions have earlier turns that warm the caches.
  let at = hasSessions ? startMilliseconds - maximumSessionMilliseconds : Math.max(0, startMilliseconds)
  for (let number = 0; ; number++) {
    at += -Math.log(1 - randomness.fraction()) / stream.sequencesPerSecond * 1_000
    if (at >= options.endMilliseconds) return arrivals
    let request: WorldRequest = { ...drawRequest(world, user, randomness), inputTokens: firstTurnInputTokens(kind) }
    let turnAt = at
    const callerFraction = randomness.fraction()
    const session = hasSessions ? `${stream.idPrefix}${number}` : undefined
    for (let turn = 0; turnAt < options.endMilliseconds; turn++) {
      if (turnAt >= startMilliseconds) arrivals.push({ id: `${stream.idPrefix}${number}-${turn}`, at: turnAt, request, session, turn, callerFraction, routerFraction: randomness.fraction() })
      if (!drawSessionContinues(kind, randomness)) break
      request = drawNextTurn(world, user, request, randomness)
      turnAt -= Math.log(1 - randomness.fraction()) * meanTurnGapMilliseconds
    }
  }
}

/** Prompt length of a first turn, chosen so that the mean over all turns is the kind's input tokens; at least the shared prefix. */
export function firstTurnInputTokens (kind: WorldKind): number {
  const meanGrowthTokens = (kind.sessionTurns - 1) * kind.inputTokens / 4
  return Math.max(kind.sharedPrefixTokens, kind.inputTokens - meanGrowthTokens)
}
