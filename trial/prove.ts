/**
 * A randomised test of daemons made of the production parts, in virtual time:
 *   npm run prove -- --seed 7 --seconds 60 [--without MECHANISM] [--list]
 * `--seconds` limits the real time, so the number of rounds depends on the machine. The rounds of a
 * seed are always the same.
 */
import { Command, InvalidArgumentError } from 'commander'
import { Mechanism, type Mechanism as MechanismName } from './prove/mechanisms.ts'
import { ProveRun, type RunReport } from './prove/run.ts'

const maximumShownViolations = 10

interface ProveOptions {
  readonly seed: number
  readonly seconds: number
  readonly rounds?: number
  readonly without?: MechanismName
  readonly list?: boolean
}

function parseNumber (text: string): number {
  const number = Number(text)
  if (!Number.isFinite(number)) throw new InvalidArgumentError('expected a number')
  return number
}

function parseMechanism (text: string): MechanismName {
  if (!Object.hasOwn(Mechanism, text)) throw new InvalidArgumentError(`expected one of ${Object.keys(Mechanism).join(', ')}`)
  return text as MechanismName
}

async function prove (options: ProveOptions): Promise<number> {
  const endsAt = Date.now() + options.seconds * 1_000
  const run = new ProveRun(options.seed, options.without)
  process.on('unhandledRejection', error => run.recordError(error))
  await run.start()
  do await run.runRound()
  while (Date.now() < endsAt && run.report().rounds < (options.rounds ?? Number.MAX_SAFE_INTEGER))
  return printReport(run.report(), options)
}

function printReport (report: RunReport, options: ProveOptions): number {
  const { answered, checks, evidence, faults, invariants, requests, rounds, violations } = report
  console.log(`${rounds} rounds, ${requests} requests, ${answered} answered completely`)
  for (const [title, counts] of Object.entries({ faults, checks, invariants })) {
    console.log(`${title}:`)
    for (const [name, count] of Object.entries(counts)) console.log(`  ${String(count).padStart(8)}  ${name}`)
  }
  for (const line of evidence.slice(0, maximumShownViolations)) console.log(`violation: ${line}`)
  const isBroken = Object.keys(violations).length > 0
  const without = options.without === undefined ? '' : ` --without ${options.without}`
  if (isBroken) console.log(`repeat with: npm run prove -- --seed ${options.seed} --rounds ${rounds} --seconds 3600${without}`)
  console.log(JSON.stringify({ seed: options.seed, without: options.without, rounds, requests, answered, faults, checks, violations }))
  return isBroken ? 1 : 0
}

const program = new Command('prove')
  .description('Runs daemons under random faults and checks the guarantees.')
  .option('--seed <number>', 'seed of the run', parseNumber, 1)
  .option('--seconds <number>', 'real time in seconds after which no new round begins', parseNumber, 20)
  .option('--rounds <number>', 'maximum number of rounds', parseNumber)
  .option('--without <mechanism>', 'disables a mechanism; the run must then find violations', parseMechanism)
  .option('--list', 'lists the mechanisms that can be disabled')
  .action(async (options: ProveOptions) => {
    if (options.list === true) {
      for (const [name, text] of Object.entries(Mechanism)) console.log(`${name.padEnd(18)} ${text}`)
      return
    }
    process.exit(await prove(options))
  })

program.parseAsync().catch(error => {
  console.error(error)
  process.exit(1)
})
