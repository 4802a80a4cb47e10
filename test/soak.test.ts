import { expect, test } from 'vitest'
import { type Finding, describeFinding } from '../trial/soak/finding.ts'
import { keepFindings } from '../trial/soak/soakReport.ts'
import { SoakRun } from '../trial/soak/soakRun.ts'

/** Starting and ending the processes, and their last requests, on a busy machine. */
const besidesMilliseconds = 120_000
const gateways = 4

/** The findings of a soak, each as a line, and where its logs were kept. Bounds of time are not asserted, since other tests run beside; they are printed. */
async function findingsOf (seed: number, seconds: number): Promise<readonly string[]> {
  const report = await new SoakRun({ seed, seconds, gateways }).run()
  const folder = keepFindings(report, seed)
  const describe = (finding: Finding) => `${describeFinding(finding, seed)} (${folder})`
  for (const finding of report.findings) if (finding.isTimed === true) console.log(`not asserted: ${describe(finding)}`)
  return report.findings.filter(({ isTimed }) => isTimed !== true).map(describe)
}

test('real processes keep their promises through the faults of a seed', async () => {
  expect(await findingsOf(11, 25)).toEqual([])
}, 25_000 + besidesMilliseconds)

/** Each seed that has ever failed, shortened as far as it still did. */
const regressions = [
  { seed: 1, seconds: 10, cause: 'requests ran behind a stream that was then cut, and their answers went with its connection (issue 57)' },
  { seed: 2, seconds: 10, cause: 'callers that ended their own side behind a request got no answer (issue 57)' }
]

test.each(regressions)('seed $seed stays sound: $cause', async ({ seed, seconds }) => {
  expect(await findingsOf(seed, seconds)).toEqual([])
}, 10_000 + besidesMilliseconds)
