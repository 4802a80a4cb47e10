import { expect, test } from 'vitest'
import { SeededRandomness } from '../src/contract/index.ts'
import { aliveRecord, MemberStatus } from '../src/membership/memberRecord.ts'
import { MemberTable } from '../src/membership/memberTable.ts'
import { Prober } from '../src/membership/prober.ts'
import { ClosedLink } from './fakes/closedLink.ts'
import { linkIdentityOf } from './fakes/delayedEcho.ts'
import { ManualClock } from './fakes/manualClock.ts'

const probeIntervalMilliseconds = 1_000

/** The status of the only other member after one round of probes. */
async function statusAfterRound (closedRequests: number, stallMilliseconds: number): Promise<MemberStatus | undefined> {
  const clock = new ManualClock()
  const link = new ClosedLink({ closedRequests, beforeReply: async count => { if (count === 1) await clock.stall(stallMilliseconds) }, reply: { members: [] } })
  const members = new MemberTable(link.self, clock)
  members.merge(aliveRecord(linkIdentityOf('other')))
  const stopping = new AbortController()
  const ended = new Prober({ link, clock, randomness: new SeededRandomness(1), members }).run(stopping.signal)
  await clock.advance(probeIntervalMilliseconds / 2)
  stopping.abort()
  await ended
  return members.record('other')?.status
}

test('a member whose connection was closed while this process was held up is asked again before it counts as suspect', async () => {
  expect(await statusAfterRound(1, 20_000)).toBe(MemberStatus.Alive)
})

test('a member that does not answer the second time either is suspect, and so is one that does not answer without a stall', async () => {
  expect(await statusAfterRound(2, 20_000)).toBe(MemberStatus.Suspect)
  expect(await statusAfterRound(1, 0)).toBe(MemberStatus.Suspect)
})
