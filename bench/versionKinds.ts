/**
 * How often a new version is called bad, or doubted, when the failures of each kind of request are judged after
 * every answer:
 *   node scripts/run.mjs bench/versionKinds.ts [--trials 200] [--seed 1]
 * Sound versions fail all kinds alike, as while some of their endpoints are faulty; bad ones fail one kind more often.
 */
import { parseArgs } from 'node:util'
import { type Randomness, SeededRandomness } from '../src/contract/index.ts'
import { type FailureCounts, KindVerdict, judgeKinds } from '../src/placement/index.ts'

const { values } = parseArgs({ options: { trials: { type: 'string', default: '200' }, seed: { type: 'string', default: '1' } } })

const kindCounts = [3, 10, 30]
const requestCounts = [40, 100, 400, 1_500]
/** Answers of the old version that one gateway has seen, of each kind. */
const oldAnswersPerKind = 15
/** More faults than this hit both versions alike. */
const maximumOldRate = 0.06

interface Scenario {
  readonly name: string
  readonly usualRate: number
  /** Rate of the only kind that fails more often; undefined if the version is sound. */
  readonly badRate: number | undefined
}

const scenarios: readonly Scenario[] = [
  { name: 'sound, 1 % fail', usualRate: 0.01, badRate: undefined },
  { name: 'sound, 6 % fail', usualRate: 0.06, badRate: undefined },
  { name: 'sound, 13 % fail at the new version', usualRate: 0.13, badRate: undefined },
  { name: 'one kind fails 50 %', usualRate: 0.01, badRate: 0.5 },
  { name: 'one kind fails 30 %', usualRate: 0.01, badRate: 0.3 }
]

/** Plays one trial; returns its verdict after the last request, or as soon as the version is bad. */
function play (scenario: Scenario, kinds: number, requests: number, randomness: Randomness): KindVerdict {
  const countsWith = (rate: number, answers: number): FailureCounts =>
    ({ answers, failures: Array.from({ length: answers }).filter(() => randomness.fraction() < rate).length })
  const names = Array.from({ length: kinds }, (_, index) => `kind-${index}`)
  const old = Object.fromEntries(names.map(name => [name, countsWith(Math.min(scenario.usualRate, maximumOldRate), oldAnswersPerKind)]))
  const seen: Record<string, FailureCounts> = {}
  let verdict: KindVerdict = KindVerdict.Unsuspicious
  for (let request = 0; request < requests && verdict !== KindVerdict.Bad; request++) {
    const index = randomness.integerBelow(kinds)
    const { answers, failures } = seen[names[index]!] ?? { answers: 0, failures: 0 }
    const rate = index === 0 ? scenario.badRate ?? scenario.usualRate : scenario.usualRate
    seen[names[index]!] = { answers: answers + 1, failures: failures + countsWith(rate, 1).failures }
    verdict = judgeKinds(seen, old)
  }
  return verdict
}

process.stdout.write('| version | kinds | requests | called bad | doubted at the end |\n| --- | --- | --- | --- | --- |\n')
for (const scenario of scenarios) {
  for (const kinds of kindCounts) {
    for (const requests of requestCounts) {
      const verdicts = Array.from({ length: Number(values.trials) }, (_, index) => play(scenario, kinds, requests, new SeededRandomness(Number(values.seed) * 1_000_003 + index)))
      const percentOf = (verdict: KindVerdict) => (100 * verdicts.filter(each => each === verdict).length / verdicts.length).toFixed(1)
      process.stdout.write(`| ${scenario.name} | ${kinds} | ${requests} | ${percentOf(KindVerdict.Bad)} % | ${percentOf(KindVerdict.Doubtful)} % |\n`)
    }
  }
}
