/**
 * A soak of real processes: gateways, store, endpoints and callers on this machine, with faults drawn from a seed.
 *   npm run soak -- --seed 7 --seconds 60 [--gateways 8] [--processors 2] [--program-folder FOLDER]
 * It ends with exit code 1 if it has found anything, and then keeps the records and logs.
 */
import { Command, InvalidArgumentError } from 'commander'
import { type Finding, describeFinding } from './soak/finding.ts'
import { describeFigures } from './soak/figures.ts'
import { keepFindings } from './soak/soakReport.ts'
import { SoakRun } from './soak/soakRun.ts'

interface SoakCommandOptions {
  readonly seed: number
  readonly seconds: number
  readonly gateways: number
  readonly processors?: number
  readonly programFolder?: string
}

/** Further findings of one check are only kept with the records. */
const maximumShownFindings = 5

function parseCount (text: string): number {
  const count = Number(text)
  if (!Number.isInteger(count) || count < 0) throw new InvalidArgumentError('expected a whole number')
  return count
}

async function soak (options: SoakCommandOptions): Promise<number> {
  const { seed, seconds, gateways } = options
  console.log(`soak with seed ${seed}: ${gateways} gateways for ${seconds} s`)
  const startedAt = Date.now()
  const shown = new Map<string, number>()
  const onFinding = (finding: Finding) => {
    const count = (shown.get(finding.check) ?? 0) + 1
    shown.set(finding.check, count)
    if (count <= maximumShownFindings) console.log(`${((finding.to - startedAt) / 1_000).toFixed(1)} s finding: ${describeFinding(finding, seed)}`)
  }
  const report = await new SoakRun({ ...options, onFinding }).run()
  for (const line of describeFigures(report.records)) console.log(line)
  const { findings } = report
  const counts = [...new Set(findings.map(({ check }) => check))].map(check => `; ${findings.filter(finding => finding.check === check).length} ${check}`)
  console.log(`soak with seed ${seed}: ${findings.length} findings${counts.join('')}`)
  const folder = keepFindings(report, seed)
  if (folder === undefined) return 0
  console.log(`logs and records: ${folder}`)
  return 1
}

const program = new Command('soak')
  .description('Runs gateways, a store, endpoints and callers as processes under faults, and checks what callers and endpoints see.')
  .option('--seed <number>', 'seed of the run', parseCount, 1)
  .option('--seconds <number>', 'how long callers call', parseCount, 60)
  .option('--gateways <number>', 'number of gateways', parseCount, 8)
  .option('--processors <number>', 'binds all processes to as many processors', parseCount)
  .option('--program-folder <folder>', 'the built gateway program, as of an earlier landing')
  .action(async (options: SoakCommandOptions) => { process.exit(await soak(options)) })

program.parseAsync().catch(error => {
  console.error(error)
  process.exit(1)
})
