/**
 * Compares quality and cost of version policies without simulating queues:
 *   node scripts/run.mjs bench/quality.ts --seed 101 [--requests 20000] [--daemons 8] [--sessions none|free|pinned] [--world FILE] [--json]
 * Seeds 1 to 5 are for tuning, 101 and up for tests.
 */
import { readFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { LearnedVersionPolicy } from '../src/choice/index.ts'
import { drawWorkload, type QualityCount, type QualityOptions, runClairvoyant, runVersionPolicy, SessionRule } from './qualityRun.ts'
import { AlwaysCheapPolicy, AlwaysStrongPolicy, CheapestFixedPolicy, FixedThresholdCascadePolicy } from './versionBaselines.ts'
import { readWorld, type World, type WorldUser } from './world.ts'
import { fullLoad } from './worldLoad.ts'

const loadRatio = 0.7
const thresholdMarginPoints = 5
/** One-sided test at 5 %: a share lower than the target by more than this many standard deviations is not explained by chance. */
const chanceStandardDeviations = 1.645

interface PolicyRow {
  readonly user: string
  readonly policy: string
  readonly costOfStrong: number
  readonly costPerGoodAnswer: number
  readonly goodShare: number
  readonly groups: number
  /** Groups whose share of good answers is at least the target. */
  readonly met: number
  /** Groups whose share of good answers is at least the target, or below it by no more than chance explains. */
  readonly metWithinChance: number
  readonly worst: number
  /** Number of groups below the target, by kind. */
  readonly missed: Record<string, number>
  readonly ratedShare: number
  readonly byKind: Record<string, string>
}

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    requests: { type: 'string', default: '20000' },
    daemons: { type: 'string', default: '8' },
    exchange: { type: 'string', default: '500' },
    sessions: { type: 'string', default: SessionRule.None },
    world: { type: 'string', default: 'bench/workloads.toml' },
    json: { type: 'boolean', default: false }
  }
})
const world = readWorld(readFileSync(values.world, 'utf8'))
const options: QualityOptions = {
  seed: Number(values.seed),
  daemons: Number(values.daemons),
  exchangeIntervalRequests: Number(values.exchange),
  sessions: Object.values(SessionRule).find(rule => rule === values.sessions) ?? SessionRule.None
}
const rows = [...world.users.values()].flatMap(user => measure(world, user))
if (!values.json) printRows(rows)
else console.log(JSON.stringify({ seed: options.seed, requests: Number(values.requests), sessions: options.sessions, rows }))

function measure (world: World, user: WorldUser): PolicyRow[] {
  const workload = drawWorkload(world, user, Number(values.requests), loadRatio * fullLoad(world, user).requestsPerSecond, options.seed, options.sessions)
  const strong = runVersionPolicy(world, workload, options, () => new AlwaysStrongPolicy())
  const runs: [string, QualityCount[]][] = [
    ['always strong', strong],
    ['always cheap', runVersionPolicy(world, workload, options, () => new AlwaysCheapPolicy())],
    ['cheapest fixed', runVersionPolicy(world, workload, options, () => new CheapestFixedPolicy(world))],
    ['threshold cascade', runVersionPolicy(world, workload, options, () => new FixedThresholdCascadePolicy(world, world.goodScoreThreshold + thresholdMarginPoints))],
    ['clairvoyant', runClairvoyant(world, workload)],
    ['learned', runVersionPolicy(world, workload, options, randomness => new LearnedVersionPolicy({ randomness, goodRating: world.goodScoreThreshold, ratingCost: world.ratingCost }))]
  ]
  const strongCost = sum(strong, count => count.cost)
  return runs.map(([policy, counts]) => rowOf(world, user.name, policy, counts, strongCost))
}

function rowOf (world: World, user: string, policy: string, counts: readonly QualityCount[], strongCost: number): PolicyRow {
  const qualityTarget = world.qualityTarget
  const shares = counts.map(count => count.good / count.requests)
  const withinChance = counts.filter((count, index) => shares[index]! >= qualityTarget - chanceStandardDeviations * Math.sqrt(qualityTarget * (1 - qualityTarget) / count.requests))
  const cost = sum(counts, count => count.cost)
  const requests = sum(counts, count => count.requests)
  return {
    user,
    policy,
    costOfStrong: cost / strongCost,
    costPerGoodAnswer: cost / sum(counts, count => count.good),
    goodShare: sum(counts, count => count.good) / requests,
    groups: counts.length,
    met: shares.filter(share => share >= qualityTarget).length,
    metWithinChance: withinChance.length,
    worst: Math.min(...shares),
    missed: Object.fromEntries([...world.kinds.keys()].map(kind => [kind, counts.filter((count, index) => count.kind === kind && shares[index]! < qualityTarget).length])),
    ratedShare: sum(counts, count => count.ratings) / requests,
    byKind: Object.fromEntries([...world.kinds.keys()].map(kind => [kind, kindText(counts.filter(count => count.kind === kind))]))
  }
}

function kindText (counts: readonly QualityCount[]): string {
  const good = sum(counts, count => count.good) / sum(counts, count => count.requests)
  return `${(100 * good).toFixed(1)} % good at ${(sum(counts, count => count.cost) / sum(counts, count => count.requests)).toFixed(0)}`
}

function sum (counts: readonly QualityCount[], valueOf: (count: QualityCount) => number): number {
  return counts.reduce((total, count) => total + valueOf(count), 0)
}

function printRows (rows: readonly PolicyRow[]): void {
  console.log(`seed ${options.seed}, ${values.requests} requests, ${options.daemons} daemons, sessions ${options.sessions}`)
  console.log('"met" counts organisation and kind pairs at or above the target; "chance" also those below it by at most 1.645 standard deviations')
  console.table(rows.map(row => ({
    user: row.user,
    policy: row.policy,
    'cost %': percent(row.costOfStrong),
    'per good': Math.round(row.costPerGoodAnswer),
    'good %': percent(row.goodShare),
    met: `${row.met}/${row.groups}`,
    chance: `${row.metWithinChance}/${row.groups}`,
    'worst %': percent(row.worst),
    missed: Object.values(row.missed).join('+'),
    'rated %': percent(row.ratedShare),
    ...row.byKind
  })))
}

function percent (share: number): number {
  return Math.round(share * 1_000) / 10
}
