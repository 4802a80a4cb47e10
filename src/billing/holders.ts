/** Who holds copies: VMs that do not fail together with the recorder or with each other. */
import { nearnessOf, Nearness, rendezvousOrder } from '../contract/index.ts'
import type { LinkIdentity } from '../link/index.ts'
import type { LedgerMember } from './contract.ts'

/**
 * The members that may hold copies for a daemon, best first: each in a rack unlike its own and those
 * before it, the others after them, and those over the regional link last.
 *
 * @example
 * const [first, second] = chooseHolders(link.self, members())
 */
export function chooseHolders (self: LinkIdentity, members: readonly LedgerMember[]): LedgerMember[] {
  const others = members.filter(member => member.name !== self.name && member.state === 'alive')
  const byName = new Map(others.map(member => [member.name, member]))
  const ordered = rendezvousOrder(self.name, [...byName.keys()]).flatMap(name => byName.get(name) ?? [])
  const near = ordered.filter(member => nearnessOf(self.place, member.place) !== Nearness.OtherRegion)
  const far = ordered.filter(member => nearnessOf(self.place, member.place) === Nearness.OtherRegion)
  return [...unlikeRacksFirst(self, near), ...unlikeRacksFirst(self, far)]
}

function unlikeRacksFirst (self: LinkIdentity, members: readonly LedgerMember[]): LedgerMember[] {
  const racks = new Set([rackOf(self)])
  const unlike: LedgerMember[] = []
  const alike: LedgerMember[] = []
  for (const member of members) {
    if (racks.has(rackOf(member))) alike.push(member)
    else unlike.push(member)
    racks.add(rackOf(member))
  }
  return [...unlike, ...alike]
}

function rackOf (member: Pick<LedgerMember, 'place' | 'rack'>): string {
  return `${member.place.dataCentre}/${member.rack}`
}
