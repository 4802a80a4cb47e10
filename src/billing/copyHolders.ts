/** Selects copy holders: VMs that are unlikely to fail together with the recording daemon or with each other. */
import { proximityOf, Proximity, rendezvousOrder } from '../contract/index.ts'
import type { LinkIdentity } from '../link/index.ts'
import type { LedgerMember } from './contract.ts'

/**
 * Returns the members that may hold copies for a daemon, in order of preference: first members in racks that
 * neither the daemon nor an earlier member uses, then the others. Members in other regions come last.
 *
 * @example
 * const [first, second] = chooseCopyHolders(link.self, members())
 */
export function chooseCopyHolders (self: LinkIdentity, members: readonly LedgerMember[]): LedgerMember[] {
  const others = members.filter(member => member.name !== self.name && member.state === 'alive')
  const byName = new Map(others.map(member => [member.name, member]))
  const ordered = rendezvousOrder(self.name, [...byName.keys()]).flatMap(name => byName.get(name) ?? [])
  const sameRegion = ordered.filter(member => proximityOf(self.place, member.place) !== Proximity.OtherRegion)
  const otherRegions = ordered.filter(member => proximityOf(self.place, member.place) === Proximity.OtherRegion)
  return [...distinctRacksFirst(self, sameRegion), ...distinctRacksFirst(self, otherRegions)]
}

function distinctRacksFirst (self: LinkIdentity, members: readonly LedgerMember[]): LedgerMember[] {
  const racks = new Set([rackOf(self)])
  const distinctRack: LedgerMember[] = []
  const sharedRack: LedgerMember[] = []
  for (const member of members) {
    if (racks.has(rackOf(member))) sharedRack.push(member)
    else distinctRack.push(member)
    racks.add(rackOf(member))
  }
  return [...distinctRack, ...sharedRack]
}

function rackOf (member: Pick<LedgerMember, 'place' | 'rack'>): string {
  return `${member.place.dataCentre}/${member.rack}`
}
