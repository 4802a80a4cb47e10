/** The report of a default run: medians over the seeds with their minimum and maximum. */
import { jobGroupKey, type JobResult, pairName } from './jobs.ts'
import { type RunMetrics, percentile } from './runMetrics.ts'

type Spread = readonly [least: number, most: number]

/** One user, scenario and policy pair over all seeds: the medians of its metrics. */
export interface ReportRow extends RunMetrics {
  readonly user: string
  readonly scenario: string
  readonly policy: string
  readonly seeds: number
  /** 95th percentile of the time to first token over all organisations except the first, which is the flooding one. */
  readonly others_first_token_ms: number
  /** Share of prompt tokens found in the engines' prefix caches. */
  readonly cached_share: number
  readonly spread: {
    readonly cost_per_good_answer: Spread
    readonly quality_met: Spread
    readonly first_token_ms_p95: Spread
    readonly goodput: Spread
  }
}

/** Groups results by user, scenario and policy. */
export function rowsOf (results: readonly JobResult[]): ReportRow[] {
  const groups = new Map<string, JobResult[]>()
  for (const result of results) {
    const key = jobGroupKey(result.job)
    groups.set(key, [...groups.get(key) ?? [], result])
  }
  return [...groups.values()].map(rowOf)
}

function rowOf (results: readonly JobResult[]): ReportRow {
  const { user, scenario, pair } = results[0]!.job
  const values = (valueOf: (metrics: RunMetrics) => number) => results.map(result => valueOf(result.metrics))
  const median = (valueOf: (metrics: RunMetrics) => number) => percentile(values(valueOf), 0.5)
  const spread = (valueOf: (metrics: RunMetrics) => number): Spread => [Math.min(...values(valueOf)), Math.max(...values(valueOf))]
  return {
    user,
    scenario,
    policy: pairName(pair),
    seeds: results.length,
    cost_per_good_answer: median(metrics => metrics.cost_per_good_answer),
    quality_met: median(metrics => metrics.quality_met),
    first_token_ms: {
      p50: median(metrics => metrics.first_token_ms.p50),
      p95: median(metrics => metrics.first_token_ms.p95),
      p99: median(metrics => metrics.first_token_ms.p99)
    },
    between_tokens_ms: median(metrics => metrics.between_tokens_ms),
    goodput: median(metrics => metrics.goodput),
    exposed_requests: median(metrics => metrics.exposed_requests),
    link_bytes: median(metrics => metrics.link_bytes),
    refused: median(metrics => metrics.refused),
    others_first_token_ms: percentile(results.map(result => result.othersFirstTokenP95Milliseconds), 0.5),
    cached_share: percentile(results.map(result => result.cachedShare), 0.5),
    spread: {
      cost_per_good_answer: spread(metrics => metrics.cost_per_good_answer),
      quality_met: spread(metrics => metrics.quality_met),
      first_token_ms_p95: spread(metrics => metrics.first_token_ms.p95),
      goodput: spread(metrics => metrics.goodput)
    }
  }
}

export function printTable (rows: readonly ReportRow[]): void {
  const header = ['user', 'scenario', 'policy', 'cost/good', 'met', 'first p50', 'p95', '(least..most)', 'p99', 'between', 'good/s', 'exposed', 'link MB', 'refused', 'cached', 'others p95']
  const lines = rows.map(row => [
    row.user, row.scenario, row.policy, round(row.cost_per_good_answer), row.quality_met.toFixed(2),
    round(row.first_token_ms.p50), round(row.first_token_ms.p95), row.spread.first_token_ms_p95.map(round).join('..'), round(row.first_token_ms.p99),
    row.between_tokens_ms.toFixed(1), row.goodput.toFixed(1), round(row.exposed_requests), (row.link_bytes / 1e6).toFixed(1), round(row.refused), row.cached_share.toFixed(2), round(row.others_first_token_ms)
  ])
  const widths = header.map((_, column) => Math.max(...[header, ...lines].map(line => line[column]!.length)))
  for (const line of [header, ...lines]) console.log(line.map((cell, column) => column < 3 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  '))
}

function round (value: number): string {
  return String(Math.round(value))
}
