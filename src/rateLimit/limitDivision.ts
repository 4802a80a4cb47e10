/**
 * Divides an endpoint's limit among the gateways without a counter and without talking. Only a few gateways
 * send to a limited endpoint at all, those that come first in the endpoint's rendezvous order, and each of them
 * has an equal part.
 *
 * A gateway decides by its own view of the members. While each view contains all running gateways, no more
 * senders than the division foresees are chosen, so the parts add up to the limit at most, however views differ
 * in members that are gone. Gateways that others do not know yet add at most their share of the fleet.
 */
import { hashFraction } from '../contract/index.ts'
import type { FleetMember, SharedLimit } from './contract.ts'

/** A lower limit still lets a request through at times, or nobody would see its end. */
const minimumRequestsPerSecond = 0.05
/** A sender keeps as many requests, so that one that could go elsewhere leaves another its place soon. */
const minimumKeptRequests = 1.25
const maximumKeptRequests = 2

/** What the division depends on. */
export interface DivisionInput extends SharedLimit {
  /** The endpoint's incarnation. */
  readonly instance: string
  /** The region of the endpoint. */
  readonly region: string
  /** The regions in which the endpoint's service has endpoints. */
  readonly servedRegions: ReadonlySet<string>
  readonly members: readonly FleetMember[]
  readonly self: FleetMember
}

/** What one gateway may send to a limited endpoint. */
export interface LimitPart {
  /** 0 if the gateway is none of the endpoint's senders. */
  readonly requestsPerSecond: number
  /** Requests that it may keep back and send at once. */
  readonly keptRequests: number
}

const noPart: LimitPart = { requestsPerSecond: 0, keptRequests: 0 }

/**
 * Returns what a gateway may send to a limited endpoint.
 *
 * @example
 * partOfLimit({ instance, region, servedRegions, requestsPerSecond: 3, keptRequests: 4, members, self }).requestsPerSecond // 1 for each of three senders
 */
export function partOfLimit ({ instance, region, servedRegions, requestsPerSecond, keptRequests, members, self }: DivisionInput): LimitPart {
  const limit = Math.max(minimumRequestsPerSecond, requestsPerSecond)
  const eligible = eligibleMembers(members, region, servedRegions)
  const isEligible = eligible.some(({ address }) => address === self.address)
  if (!isEligible) return noPart
  // A single sender keeps at least the one request without which it could never send.
  const kept = Math.max(1, keptRequests)
  const senders = Math.min(eligible.length, Math.max(1, Math.floor(kept / minimumKeptRequests)))
  const ownScore = scoreOf(instance, self)
  const betterMembers = eligible.filter(member => member.address !== self.address && comesBefore(scoreOf(instance, member), member, ownScore, self))
  if (betterMembers.length >= senders) return noPart
  return { requestsPerSecond: limit / senders, keptRequests: Math.min(maximumKeptRequests, kept / senders) }
}

/** Gateways of the endpoint's region, and those whose own region has no endpoint of the service; all if there are none of these. */
function eligibleMembers (members: readonly FleetMember[], region: string, servedRegions: ReadonlySet<string>): readonly FleetMember[] {
  const eligible = members.filter(member => member.region === undefined || member.region === region || !servedRegions.has(member.region))
  return eligible.length > 0 ? eligible : members
}

function scoreOf (instance: string, { address }: FleetMember): number {
  return hashFraction(`${instance}\n${address}`)
}

function comesBefore (score: number, member: FleetMember, ownScore: number, self: FleetMember): boolean {
  return score === ownScore ? member.address < self.address : score > ownScore
}
