/**
 * The simulated world of the benches: the quality and cost of versions, the hardware, and the workload
 * of each user. Policies have no access to it; they see only requests, difficulty hints and ratings.
 * All draws take a `Randomness`, so that several policies can be run on the same requests.
 */
import type { Randomness } from '../src/contract/index.ts'
import { readWorldText, type WorldText } from './worldSchema.ts'

/** The 50th and 95th percentile of a lognormally distributed delay. */
export interface Percentiles {
  readonly p50: number
  readonly p95: number
}

export interface WorldVersion {
  readonly name: string
  /** Cost units per generated token. */
  readonly price: number
  readonly weightGigabytes: number
  /** Duration of one decode step on hardware of speed 1: base + perStream × streams in the batch. */
  readonly decodeMilliseconds: { readonly base: number, readonly perStream: number }
  readonly prefillTokensPerSecond: number
  readonly skill: ReadonlyMap<string, number>
}

export interface WorldHardware {
  readonly name: string
  /** Factor on the speed of prefill and decode. */
  readonly speed: number
  /** Maximum batch size of an accelerator. */
  readonly streams: number
  readonly prefixCacheTokens: number
}

export interface WorldKind {
  readonly name: string
  readonly inputTokens: number
  readonly outputTokens: number
  readonly sharedPrefixTokens: number
  /** Undefined if each user has a share of its own. */
  readonly streamedShare: number | undefined
  /** Mean number of turns of a session, which is geometrically distributed; 1 for a kind without sessions. */
  readonly sessionTurns: number
}

export interface WorldOrganisation {
  readonly name: string
  readonly weight: number
}

export interface WorldUser {
  readonly name: string
  /** Share of each kind among the user's model requests; sums to 1. */
  readonly mix: ReadonlyMap<string, number>
  /** Share of streamed requests by kind. */
  readonly streamedShare: ReadonlyMap<string, number>
  readonly organisations: readonly WorldOrganisation[]
  readonly serviceCallsShare: number
  /** Number of data centres by region. */
  readonly dataCentres: ReadonlyMap<string, number>
  readonly oneWayMilliseconds: { readonly dataCentre: number, readonly region: number, readonly client: number }
  readonly regionalLinkMegabits: number
  readonly runners: number
}

export interface World {
  /** The lowest true score of a good answer. */
  readonly goodScoreThreshold: number
  /** The required share of good answers, for each pair of organisation and kind. */
  readonly qualityTarget: number
  readonly difficulty: { readonly low: number, readonly high: number }
  /** base + slope × (skill − difficulty), clamped to low..high. */
  readonly trueScore: { readonly base: number, readonly slope: number, readonly low: number, readonly high: number }
  readonly hintNoise: number
  readonly ratingNoise: number
  /** Cost units per rating. */
  readonly ratingCost: number
  readonly ratingMilliseconds: Percentiles
  readonly ratingOutageShare: number
  /** Cheapest first. */
  readonly versions: readonly WorldVersion[]
  readonly hardware: readonly WorldHardware[]
  readonly kinds: ReadonlyMap<string, WorldKind>
  readonly users: ReadonlyMap<string, WorldUser>
  readonly reporting: {
    readonly loadReportLagMilliseconds: Percentiles
    readonly loadReportIntervalMilliseconds: number
    readonly virtualMachineListLagSeconds: Percentiles
    readonly reportLossProbability: number
  }
}

/** A model request, including the difficulty, which no policy may use. */
export interface WorldRequest {
  readonly organisation: string
  readonly kind: WorldKind
  /** Hidden from policies. */
  readonly difficulty: number
  /** The difficulty with noise, which policies know before the request runs. */
  readonly difficultyHint: number
  readonly streamed: boolean
  readonly inputTokens: number
  readonly outputTokens: number
}

/** The 95th percentile of the standard normal distribution. */
const standardNormalP95 = 1.6449

/**
 * Parses the TOML text of a world.
 *
 * @throws if the text does not match the schema of a world
 * @example
 * const world = readWorld(readFileSync('bench/workloads.toml', 'utf8'))
 */
export function readWorld (text: string): World {
  const read = readWorldText(text)
  const [minimumDifficulty = 0, maximumDifficulty = 1] = numbersOf(read.difficulty.replace('..', ' '))
  const [base = 0, slope = 0, minimumScore = 0, maximumScore = 0] = numbersOf(read.true_score.replace('..', ' '))
  const kinds = new Map(Object.entries(read.kinds).map(([name, kind]) => [name, kindOf(name, kind)]))
  return {
    goodScoreThreshold: read.quality_good,
    qualityTarget: read.quality_target,
    difficulty: { low: minimumDifficulty, high: maximumDifficulty },
    trueScore: { base, slope, low: minimumScore, high: maximumScore },
    hintNoise: read.hint_noise,
    ratingNoise: read.rating_noise,
    ratingCost: read.rating_cost,
    ratingMilliseconds: percentilesOf(read.rating_milliseconds),
    ratingOutageShare: read.rating_outage_share,
    versions: Object.entries(read.versions).map(versionOf).sort((left, right) => left.price - right.price),
    hardware: Object.entries(read.hardware).map(hardwareOf),
    kinds,
    users: new Map(Object.entries(read.users).map(([name, user]) => [name, userOf(name, user, kinds)])),
    reporting: {
      loadReportLagMilliseconds: percentilesOf(read.news.load_report_lag_milliseconds),
      loadReportIntervalMilliseconds: read.news.load_report_every_milliseconds,
      virtualMachineListLagSeconds: percentilesOf(read.news.virtual_machine_list_lag_seconds),
      reportLossProbability: read.news.cache_event_loss
    }
  }
}

/** Draws the first request of a session, or a request without a session. */
export function drawRequest (world: World, user: WorldUser, randomness: Randomness): WorldRequest {
  const organisation = drawWeighted(user.organisations, entry => entry.weight, randomness)
  const [name] = drawWeighted([...user.mix], entry => entry[1], randomness)
  const kind = world.kinds.get(name)!
  return { ...drawTurn(world, user, kind, kind.inputTokens, randomness), organisation: organisation.name }
}

/** Draws the next turn of a session, with a new difficulty and a longer prompt. */
export function drawNextTurn (world: World, user: WorldUser, previous: WorldRequest, randomness: Randomness): WorldRequest {
  const inputTokens = previous.inputTokens + previous.kind.inputTokens / 4
  return { ...drawTurn(world, user, previous.kind, inputTokens, randomness), organisation: previous.organisation }
}

/** Draws whether a session has another turn; the number of turns is geometrically distributed with the kind's mean. */
export function drawSessionContinues (kind: WorldKind, randomness: Randomness): boolean {
  return randomness.fraction() < 1 - 1 / kind.sessionTurns
}

function drawTurn (world: World, user: WorldUser, kind: WorldKind, inputTokens: number, randomness: Randomness) {
  const { low, high } = world.difficulty
  const difficulty = low + (high - low) * randomness.fraction()
  return {
    kind,
    difficulty,
    difficultyHint: difficulty + world.hintNoise * randomness.standardNormal(),
    streamed: randomness.fraction() < (user.streamedShare.get(kind.name) ?? 0),
    inputTokens,
    outputTokens: kind.outputTokens
  }
}

/**
 * The true score of an answer, 0 to 100 in the default world.
 *
 * @param shift points to add; negative for a bad version
 */
export function trueScore (world: World, version: WorldVersion, kind: string, difficulty: number, shift = 0): number {
  const { base, slope, low, high } = world.trueScore
  const skill = version.skill.get(kind) ?? 0
  const score = base + slope * (skill - difficulty) + shift
  return Math.min(high, Math.max(low, score))
}

/** Draws the rating service's rating of an answer: its true score with normal noise, clamped to the score range. */
export function drawRating (world: World, score: number, randomness: Randomness): number {
  const { low, high } = world.trueScore
  const rating = score + world.ratingNoise * randomness.standardNormal()
  return Math.min(high, Math.max(low, rating))
}

/** Draws a lognormally distributed delay, in the unit of the percentiles. */
export function drawDelay ({ p50, p95 }: Percentiles, randomness: Randomness): number {
  const standardDeviation = Math.log(p95 / p50) / standardNormalP95
  return p50 * Math.exp(standardDeviation * randomness.standardNormal())
}

/** Cost units of one attempt. Relative to a generated token, an uncached input token costs 1/4 and a cached one 1/40. */
export function attemptCost (version: WorldVersion, inputTokens: number, cachedInputTokens: number, outputTokens: number): number {
  const prefillCost = (inputTokens - cachedInputTokens) / 4
  return version.price * (prefillCost + cachedInputTokens / 40 + outputTokens)
}

/** Expected share of good answers of a version for a kind, over its uniformly distributed difficulties. */
export function goodShare (world: World, version: WorldVersion, kind: string): number {
  const { base, slope } = world.trueScore
  const { low, high } = world.difficulty
  const hardestGoodDifficulty = (version.skill.get(kind) ?? 0) - (world.goodScoreThreshold - base) / slope
  return Math.min(1, Math.max(0, (hardestGoodDifficulty - low) / (high - low)))
}

function drawWeighted<Entry> (entries: readonly Entry[], weightOf: (entry: Entry) => number, randomness: Randomness): Entry {
  const total = entries.reduce((sum, entry) => sum + weightOf(entry), 0)
  let remainingWeight = randomness.fraction() * total
  for (const entry of entries) {
    remainingWeight -= weightOf(entry)
    if (remainingWeight < 0) return entry
  }
  return entries.at(-1)!
}

function numbersOf (text: string): number[] {
  return (text.match(/(?<![\w.])-?\d+(\.\d+)?/g) ?? []).map(Number)
}

function percentilesOf ([p50, p95]: readonly [number, number]): Percentiles {
  return { p50, p95 }
}

function versionOf ([name, version]: [string, WorldText['versions'][string]]): WorldVersion {
  return {
    name,
    price: version.price,
    weightGigabytes: version.weight_gigabytes,
    decodeMilliseconds: { base: version.decode_milliseconds.base, perStream: version.decode_milliseconds.per_stream },
    prefillTokensPerSecond: version.prefill_tokens_per_second,
    skill: new Map(Object.entries(version.skill))
  }
}

function hardwareOf ([name, hardware]: [string, WorldText['hardware'][string]]): WorldHardware {
  return { name, speed: hardware.speed, streams: hardware.streams, prefixCacheTokens: hardware.prefix_cache_tokens }
}

function kindOf (name: string, kind: WorldText['kinds'][string]): WorldKind {
  return {
    name,
    inputTokens: kind.input_tokens,
    outputTokens: kind.output_tokens,
    sharedPrefixTokens: kind.shared_prefix_tokens,
    streamedShare: kind.streamed_share,
    sessionTurns: kind.session_turns ?? 1
  }
}

function userOf (name: string, user: WorldText['users'][string], kinds: ReadonlyMap<string, WorldKind>): WorldUser {
  const total = Object.values(user.mix).reduce((sum, share) => sum + share, 0)
  const defaultStreamedShare = user.streamed_summaries ?? 0
  return {
    name,
    mix: new Map(Object.entries(user.mix).map(([kind, share]) => [kind, share / total])),
    streamedShare: new Map([...kinds].map(([kind, { streamedShare }]) => [kind, streamedShare ?? defaultStreamedShare])),
    organisations: user.organisation_weights.map((weight, index) => ({ name: `organisation-${index + 1}`, weight })),
    serviceCallsShare: user.service_calls_share,
    dataCentres: new Map(Object.entries(user.data_centres)),
    oneWayMilliseconds: {
      dataCentre: user.one_way_milliseconds.data_centre,
      region: user.one_way_milliseconds.region,
      client: user.one_way_milliseconds.client
    },
    regionalLinkMegabits: user.regional_link_megabits,
    runners: user.runners
  }
}
