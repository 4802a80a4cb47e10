import { expect, test } from 'vitest'
import { describeFinding } from '../trial/soak/finding.ts'
import { keepFindings } from '../trial/soak/soakReport.ts'
import { SoakRun } from '../trial/soak/soakRun.ts'

/** Starting and ending the processes, and their last requests, on a busy machine. */
const besidesMilliseconds = 120_000
const gateways = 4

/** The findings of a soak, each as a line, and where its logs were kept. */
async function findingsOf (seed: number, seconds: number): Promise<readonly string[]> {
  const report = await new SoakRun({ seed, seconds, gateways }).run()
  const folder = keepFindings(report, seed)
  return report.findings.map(finding => `${describeFinding(finding, seed)} (${folder})`)
}

test.each([11, 12])('real processes keep their promises through the faults of seed %i', async seed => {
  const seconds = 20
  expect(await findingsOf(seed, seconds)).toEqual([])
}, 20_000 + besidesMilliseconds)

/** Each seed that has ever failed, shortened as far as it still did. */
const regressions = [
  { seed: 1, seconds: 10, cause: 'requests ran behind a stream that was then cut, and their answers went with its connection (issue 57)' }
]

test.each(regressions)('seed $seed stays sound: $cause', async ({ seed, seconds }) => {
  expect(await findingsOf(seed, seconds)).toEqual([])
}, 10_000 + besidesMilliseconds)
