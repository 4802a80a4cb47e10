/**
 * The requests of a run, drawn before it from its seed alone: every policy meets the same requests at
 * the same moments. Turns of a session come at moments that don't depend on when the answers came,
 * and sessions that began before the run's start are in it with their later turns. A kind's input
 * tokens are the mean over all requests: a session's prompt begins shorter and grows with each turn.
 */
import { SeededRandomness } from '../src/contract/index.ts'
import { drawNextTurn, drawRequest, drawSessionContinues, type World, type WorldKind, type WorldRequest, type WorldUser } from './world.ts'

/** A request at its moment. */
export interface Arrival {
  readonly id: string
  /** Milliseconds since the run's start; before it for turns that only warm the caches. */
  readonly at: number
  readonly request: WorldRequest
  readonly session: string | undefined
  /** 0 for the first of a session. */
  readonly turn: number
  /** Where its caller stands, as a fraction of all data centres; it stays for a session. */
  readonly callerFraction: number
  /** Which decider of the caller's region takes it, as a fraction of them. */
  readonly routerFraction: number
}

/** What the arrivals of a run depend on. */
export interface ArrivalOptions {
  readonly world: World
  readonly user: WorldUser
  readonly seed: number
  readonly requestsPerSecond: number
  readonly startMilliseconds: number
  readonly endMilliseconds: number
  /** An organisation that sends more than its share, by this factor. */
  readonly flood?: { readonly organisation: string, readonly factor: number, readonly fromMilliseconds: number }
}

/** Mean milliseconds between two turns of a session. */
export const meanTurnGapMilliseconds = 20_000
/** Sessions that began longer ago are over. */
const maximumSessionMilliseconds = 200_000

/**
 * Draws the arrivals of a run, in order of time.
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
  /** Starts are rarer than requests, for a session counts once in them. */
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
  // Without sessions there is nothing to warm.
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

/** The prompt of a first turn, so that the mean over a session's turns is the kind's input. */
export function firstTurnInputTokens (kind: WorldKind): number {
  const meanGrowthTokens = (kind.sessionTurns - 1) * kind.inputTokens / 4
  return Math.max(kind.sharedPrefixTokens, kind.inputTokens - meanGrowthTokens)
}
