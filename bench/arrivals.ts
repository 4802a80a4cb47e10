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
  const { world, user } = plan
  const arrivals: Arrival[] = []
  const starts = sessionStartsPerSecond(plan, requestsPerSecond)
  let at = start - longestSessionMilliseconds
  for (let number = 0; at < plan.endMilliseconds; number++) {
    at += -Math.log(1 - randomness.fraction()) / starts * 1_000
    let request = drawStart(plan, randomness)
    const caller = randomness.fraction()
    let turnAt = at
    for (let turn = 0; ; turn++) {
      const session = request.kind.sessionTurns > 1 ? `${prefix}session-${number}` : undefined
      if (turnAt >= start && turnAt < plan.endMilliseconds) arrivals.push({ id: `${prefix}${number}-${turn}`, at: turnAt, request, session, caller, decider: randomness.fraction() })
      if (!drawSessionGoesOn(request.kind, randomness)) break
      request = drawNextTurn(world, user, request, randomness)
      turnAt -= Math.log(1 - randomness.fraction()) * turnGapMilliseconds
    }
  }
  return arrivals
}

/** Starts are rarer than requests, for a session counts once in them. */
function sessionStartsPerSecond ({ world, user }: ArrivalPlan, requestsPerSecond: number): number {
  let starts = 0
  for (const [kind, share] of user.mix) starts += share / world.kinds.get(kind)!.sessionTurns
  return requestsPerSecond * starts
}

/** Draws a start: a kind's share of the starts is its share of the requests over its turns. */
function drawStart ({ world, user }: ArrivalPlan, randomness: SeededRandomness): WorldRequest {
  const mix = new Map([...user.mix].map(([kind, share]) => [kind, share / world.kinds.get(kind)!.sessionTurns]))
  const total = [...mix.values()].reduce((sum, share) => sum + share, 0)
  const even = new Map([...mix].map(([kind, share]) => [kind, share / total]))
  const request = drawRequest(world, { ...user, mix: even }, randomness)
  return { ...request, inputTokens: firstInputTokens(request.kind) }
}

/** The prompt of a first turn, so that the mean over a session's turns is the kind's input. */
export function firstInputTokens (kind: WorldKind): number {
  const grown = (kind.sessionTurns - 1) * kind.inputTokens / 4
  return Math.max(kind.sharedPrefixTokens, kind.inputTokens - grown)
}
