import { expect, test } from 'vitest'
import { type Result, SeededRandomness } from '../src/contract/index.ts'
import { type SettingsRejection, TableSettingsRepository } from '../src/distribution/index.ts'
import { checkText, type Subtree, subtreeSchema } from '../src/settings/index.ts'
import { FaultyTableService, TableFault, type TableCall } from './fakes/faultyTableService.ts'
import { ManualClock } from './fakes/manualClock.ts'

function subtreeOf (text: string): Subtree {
  return checkText(text, 'test.toml', subtreeSchema).unwrap()
}

const small = subtreeOf('[models.small]\nprice = 1\n[models.small.versions.1]')
const smallWithdrawn = subtreeOf('[models.small]\nprice = 1\n[models.small.versions.1]\nstate = "withdrawn"')
const large = subtreeOf('[models.large]\nprice = 20\n[models.large.versions.1]')

function isWrite (call: TableCall): boolean {
  return call.kind === 'transact'
}

function setUp () {
  const clock = new ManualClock()
  const table = new FaultyTableService(clock)
  const repositoryOf = (seed: number) => new TableSettingsRepository({ table, clock, randomness: new SeededRandomness(seed) })
  return { clock, table, repository: repositoryOf(1), other: repositoryOf(2) }
}

async function revisionsOf (repository: TableSettingsRepository): Promise<number[]> {
  return (await repository.changesAfter(0, 100)).unwrap().map(change => change.revision)
}

function reasonOf (outcome: Result<number, SettingsRejection>): string {
  return outcome.err ? outcome.val.reason : 'accepted'
}

test('an accepted change is read back under the next global revision', async () => {
  const { repository } = setUp()
  expect((await repository.put('fleet', small, { expected: 0, author: 'ines' })).unwrap()).toBe(1)
  expect((await repository.put('models', large, { expected: 0, author: 'ines' })).unwrap()).toBe(2)
  expect((await repository.read('fleet')).unwrap()).toEqual({ revision: 1, subtree: small })
  expect((await repository.revision()).unwrap()).toBe(2)
  expect((await repository.snapshot()).unwrap().teams.get('models')).toEqual({ revision: 2, subtree: large })
})

test('of concurrent changes to one team exactly one is accepted, and the others are given the current settings', async () => {
  const { repository, other } = setUp()
  const outcomes = await Promise.all([
    repository.put('fleet', small, { expected: 0, author: 'ines' }),
    other.put('fleet', smallWithdrawn, { expected: 0, author: 'otto' })
  ])
  expect(outcomes.map(reasonOf).sort()).toEqual(['accepted', 'conflict'])
  const winner = outcomes[0]?.ok ? small : smallWithdrawn
  const loser = outcomes.find(outcome => outcome.err)
  expect(loser?.val).toMatchObject({ conflict: { revision: 1, current: winner } })
  expect(await revisionsOf(repository)).toEqual([1])
})

test('concurrent changes to different teams are all accepted, with consecutive revisions', async () => {
  const { clock, table, repository } = setUp()
  table.script = call => ({ fault: TableFault.None, requestDelayMilliseconds: isWrite(call) ? 5 : 1, replyDelayMilliseconds: 1 })
  const names = Array.from({ length: 12 }, (_, index) => `team-${index}`)
  const puts = names.map((team, index) => repository.put(team, subtreeOf(`[models.m${index}]\nprice = 1\n[models.m${index}.versions.1]`), { expected: 0, author: team }))
  const settled = Promise.all(puts)
  await clock.advance(2_000)
  table.script = () => ({ fault: TableFault.None })
  const revisions = (await settled).map(outcome => outcome.unwrap())
  expect([...revisions].sort((left, right) => left - right)).toEqual(names.map((_, index) => index + 1))
  expect(await revisionsOf(repository)).toEqual(names.map((_, index) => index + 1))
})

test('a change whose reply was lost is recognised as accepted and not applied twice', async () => {
  const { table, repository } = setUp()
  table.script = call => ({ fault: isWrite(call) ? TableFault.ReplyLost : TableFault.None })
  expect((await repository.put('fleet', small, { expected: 0, author: 'ines' })).unwrap()).toBe(1)
  expect(await revisionsOf(repository)).toEqual([1])
})

test('a change whose request was lost is retried', async () => {
  const { table, repository } = setUp()
  let remainingLosses = 2
  table.script = call => ({ fault: isWrite(call) && remainingLosses-- > 0 ? TableFault.RequestLost : TableFault.None })
  expect((await repository.put('fleet', small, { expected: 0, author: 'ines' })).unwrap()).toBe(1)
  expect(await revisionsOf(repository)).toEqual([1])
})

test('after a lost request another operator\'s change with the same revision is not taken for this one', async () => {
  const { clock, table, repository, other } = setUp()
  let isFirstWrite = true
  table.script = call => {
    if (!isWrite(call) || !isFirstWrite) return { fault: TableFault.None }
    isFirstWrite = false
    other.put('fleet', smallWithdrawn, { expected: 0, author: 'otto' })
    return { fault: TableFault.RequestLost, requestDelayMilliseconds: 100 }
  }
  const pending = repository.put('fleet', small, { expected: 0, author: 'ines' })
  await clock.advance(200)
  const outcome = await pending
  expect(reasonOf(outcome)).toBe('conflict')
  expect((await repository.read('fleet')).unwrap().subtree).toEqual(smallWithdrawn)
})

test('while the store is down a change is refused as not applied', async () => {
  const { table, repository } = setUp()
  table.script = call => ({ fault: isWrite(call) ? TableFault.Down : TableFault.None })
  const outcome = await repository.put('fleet', small, { expected: 0, author: 'ines' })
  expect(outcome.val).toEqual({ reason: 'unavailable', mayHaveApplied: false })
})

test('a change with an unknown outcome is reported as possibly applied', async () => {
  const { clock, table, repository } = setUp()
  let isWritten = false
  table.script = call => {
    if (isWritten) return { fault: TableFault.Down }
    isWritten = isWrite(call)
    return { fault: isWritten ? TableFault.ReplyLost : TableFault.None }
  }
  const pending = repository.put('fleet', small, { expected: 0, author: 'ines' })
  await clock.advance(20_000)
  expect((await pending).val).toEqual({ reason: 'unavailable', mayHaveApplied: true })
})

test('all faults of a change are reported at once, and a refused change has no effect', async () => {
  const { repository } = setUp()
  await repository.put('fleet', small, { expected: 0, author: 'ines' })
  const broken = { ...small, organisations: { harbour: { key_hashes: ['no hash'], models: [], services: [], share: -1, quality_target: 2 } } }
  const faulty = await repository.put('models', broken, { expected: 0, author: 'ines' })
  expect(faulty.val).toMatchObject({ reason: 'faults', faults: { length: 3 } })
  const taken = await repository.put('models', small, { expected: 0, author: 'ines' })
  expect(taken.val).toMatchObject({ reason: 'faults', faults: [{ path: 'models.small' }] })
  expect((await repository.revision()).unwrap()).toBe(1)
})
