import { expect, test } from 'vitest'
import { ProveRun, type RunReport } from '../trial/prove/run.ts'
import type { Mechanism } from '../trial/prove/mechanisms.ts'

async function reportOfRun (seed: number, rounds: number, disabledMechanism?: Mechanism): Promise<RunReport> {
  const run = new ProveRun(seed, disabledMechanism)
  await run.start()
  for (let round = 0; round < rounds; round++) await run.runRound()
  return run.report()
}

test('a round of faults violates no guarantee of the daemons', { timeout: 120_000 }, async () => {
  const report = await reportOfRun(31, 1)
  expect(report.evidence).toEqual([])
  expect(report.answered).toBeGreaterThan(0)
})

test('the same seed reproduces the same run', { timeout: 120_000 }, async () => {
  const { invariants: first, ...one } = await reportOfRun(32, 1)
  const { invariants: second, ...other } = await reportOfRun(32, 1)
  expect(other).toEqual(one)
})

test('with claims disabled the run detects requests that ran twice', { timeout: 120_000 }, async () => {
  const report = await reportOfRun(33, 1, 'claim')
  expect(Object.keys(report.violations)).toContain('7 a non-idempotent request runs at most once')
})
