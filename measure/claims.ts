/**
 * Measures the cost of claims: processor time and store calls of a refund, and the bytes of its row.
 * Prints one JSON object per line.
 *   node scripts/run.mjs measure/claims.ts
 */
import { performance } from 'node:perf_hooks'
import { claimTableName, TableClaims } from '../src/claim/index.ts'
import { SeededRandomness, SystemClock } from '../src/contract/index.ts'
import { FaultyTableService, TableFault } from '../test/fakes/faultyTableService.ts'
import { fitLeastSquares } from './leastSquares.ts'

const answer = { status: 201, contentType: 'application/json', body: 'x'.repeat(400) }

async function measureClaims (count: number): Promise<readonly [readonly number[], number]> {
  const clock = new SystemClock()
  const table = new FaultyTableService(clock)
  let calls = 0
  table.script = () => {
    calls += 1
    return { fault: TableFault.None }
  }
  const claims = new TableClaims({ table, clock, randomness: new SeededRandomness(1), holder: 'entry-1' })
  const startedAt = performance.now()
  for (let index = 0; index < count; index++) {
    const opening = (await claims.open({ organisation: 'harbour', idempotencyKey: `refund-${index}`, requestHash: 'a'.repeat(64), deadline: clock.now() + 60_000 })).unwrap()
    if (opening.kind !== 'mine') throw new Error(opening.kind)
    await opening.claim.dispatch()
    await opening.claim.settle(answer)
  }
  const milliseconds = performance.now() - startedAt
  const row = (await table.memoryTable.scan(claimTableName, { prefix: '', limit: 1 })).unwrap().rows[0]
  console.log(JSON.stringify({
    measure: 'claims, one after the other', claims: count, milliseconds: Math.round(milliseconds), claims_per_second: Math.round(count / milliseconds * 1_000), store_calls_per_claim: calls / count, bytes_per_row: JSON.stringify(row).length, answer_bytes: answer.body.length
  }))
  return [[count], milliseconds]
}

async function measure (): Promise<void> {
  await measureClaims(1_000)
  const points = []
  for (const count of [2_000, 10_000, 40_000]) points.push(await measureClaims(count))
  console.log(JSON.stringify({ measure: 'slope of claims: milliseconds a claim', ...fitLeastSquares(points) }))
}

measure().then(() => process.exit(0))
