/**
 * The requests of a run, drawn before it from its seed alone: every policy meets the same requests at
 * the same moments. Turns of a session come at moments that don't depend on when the answers came,
 * and sessions that began before the run's start are in it with their later turns. A kind's input
 * tokens are the mean over all requests: a session's prompt begins shorter and grows with each turn.
 */
import { SeededRandomness } from '../src/contract/index.ts'
import { drawNextTurn, drawRequest, drawSessionGoesOn, type World, type WorldKind, type WorldRequest, type WorldUser } from './world.ts'

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
  readonly caller: number
  /** Which decider of the caller's region takes it, as a fraction of them. */
  readonly decider: number
}

/** What the arrivals of a run depend on. */
export interface ArrivalPlan {
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
export const turnGapMilliseconds = 20_000
/** Sessions that began longer ago are over. */
const longestSessionMilliseconds = 200_000

/**
 * Draws the arrivals of a run, in order of time.
 *
 * @example
 * const arrivals = drawArrivals({ world, user, seed: 1, requestsPerSecond: 100, startMilliseconds: 0, endMilliseconds: 60_000 })
 */
export function drawArrivals (plan: ArrivalPlan): Arrival[] {
  const base = drawStream(plan, plan.seed, plan.requestsPerSecond, plan.startMilliseconds, '')
  const extra = plan.flood === undefined ? [] : drawFlood(plan, plan.flood)
  return [...base, ...extra].sort((left, right) => left.at - right.at)
}

function drawFlood (plan: ArrivalPlan, flood: NonNullable<ArrivalPlan['flood']>): Arrival[] {
  const organisations = plan.user.organisations.filter(organisation => organisation.name === flood.organisation)
  const all = plan.user.organisations.reduce((sum, organisation) => sum + organisation.weight, 0)
  const share = organisations.reduce((sum, organisation) => sum + organisation.weight, 0) / all
  const rate = plan.requestsPerSecond * share * (flood.factor - 1)
  const user = { ...plan.user, organisations }
  return drawStream({ ...plan, user }, plan.seed + 7_919, rate, flood.fromMilliseconds, 'flood-')
}

function drawStream (plan: ArrivalPlan, seed: number, requestsPerSecond: number, start: number, prefix: string): Arrival[] {
  const randomness = new SeededRandomness(seed)
  return [...plan.user.mix].flatMap(([kindName, share]) => {
    const kind = plan.world.kinds.get(kindName)!
    const stream = { kind, startsPerSecond: requestsPerSecond * share / kind.sessionTurns, start, prefix: `${prefix}${kindName}-` }
    return drawKind(plan, stream, randomness)
  })
}

interface KindStream {
  readonly kind: WorldKind
  /** Starts are rarer than requests, for a session counts once in them. */
  readonly startsPerSecond: number
  readonly start: number
  readonly prefix: string
}

function drawKind (plan: ArrivalPlan, stream: KindStream, randomness: SeededRandomness): Arrival[] {
  const { world } = plan
  const { kind, start } = stream
  const user = { ...plan.user, mix: new Map([[kind.name, 1]]) }
  const hasSessions = kind.sessionTurns > 1
  const arrivals: Arrival[] = []
  // Without sessions there is nothing to warm.
  let at = hasSessions ? start - longestSessionMilliseconds : Math.max(0, start)
  for (let number = 0; ; number++) {
    at += -Math.log(1 - randomness.fraction()) / stream.startsPerSecond * 1_000
    if (at >= plan.endMilliseconds) return arrivals
    let request: WorldRequest = { ...drawRequest(world, user, randomness), inputTokens: firstInputTokens(kind) }
    let turnAt = at
    const caller = randomness.fraction()
    const session = hasSessions ? `${stream.prefix}${number}` : undefined
    for (let turn = 0; turnAt < plan.endMilliseconds; turn++) {
      if (turnAt >= start) arrivals.push({ id: `${stream.prefix}${number}-${turn}`, at: turnAt, request, session, turn, caller, decider: randomness.fraction() })
      if (!drawSessionGoesOn(kind, randomness)) break
      request = drawNextTurn(world, user, request, randomness)
      turnAt -= Math.log(1 - randomness.fraction()) * turnGapMilliseconds
    }
  }
}

/** The prompt of a first turn, so that the mean over a session's turns is the kind's input. */
export function firstInputTokens (kind: WorldKind): number {
  const grown = (kind.sessionTurns - 1) * kind.inputTokens / 4
  return Math.max(kind.sharedPrefixTokens, kind.inputTokens - grown)
}
