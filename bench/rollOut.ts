/**
 * Compares the roll-out guard with a roll-out on a fixed schedule:
 *   node scripts/run.mjs bench/rollOut.ts --seed 101 [--good 2000] [--bad 200] [--json]
 * Good roll-outs are of a version equal to the old one, bad ones of a version that scores 20 points
 * lower. Exposure is the number of requests that the new version served until the halt. The fixed
 * schedule holds every step equally long, compares the mean ratings at the end of each step, and halts if
 * the new version's mean is lower by more than half of the 20 points.
 */
import { readFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { SeededRandomness, type Randomness } from '../src/contract/index.ts'
import { type RollOutEvidence, type RollOutGuard, RollOutVerdict, SequentialRollOutGuard } from '../src/choice/index.ts'
import { drawRating, drawRequest, readWorld, trueScore, type World, type WorldUser, type WorldVersion } from './world.ts'

const rollOutSteps = [0.01, 0.05, 0.25, 1]
const badVersionScoreShift = -20
const requestsPerSecond = 75
const fixedStepSeconds = 600
/** Shares of the new and the old version's answers that are rated during a roll-out. */
const newVersionRatedShare = 1
const oldVersionRatedShare = 0.1
const ratingDelaySeconds = 0.5
const maximumRequests = 400_000
const fromVersion = 'version@1'
const toVersion = 'version@2'

interface RollOutOutcome {
  readonly halted: boolean
  readonly exposedRequests: number
  readonly seconds: number
}

function measure (world: World, user: WorldUser, version: WorldVersion) {
  const seed = Number(values.seed) * 1_000_003
  const good = runMany(Number(values.good), index => runGuarded(world, user, version, 0, new SeededRandomness(seed + index)))
  const bad = runMany(Number(values.bad), index => runGuarded(world, user, version, badVersionScoreShift, new SeededRandomness(seed + index)))
  const fixed = runMany(Math.min(20, Number(values.bad)), index => runFixedTime(world, user, version, badVersionScoreShift, new SeededRandomness(seed + index)))
  const exposure = medianOf(bad.map(outcome => outcome.exposedRequests))
  const fixedExposure = medianOf(fixed.map(outcome => outcome.exposedRequests))
  return {
    user: user.name,
    version: version.name,
    good: good.length,
    falseHalts: good.filter(outcome => outcome.halted).length,
    goodSecondsMedian: Math.round(medianOf(good.map(outcome => outcome.seconds))),
    fixedSeconds: fixedStepSeconds * rollOutSteps.length,
    bad: bad.length,
    missed: bad.filter(outcome => !outcome.halted).length,
    exposureMedian: exposure,
    exposureMean: Math.round(bad.reduce((sum, outcome) => sum + outcome.exposedRequests, 0) / bad.length),
    exposureWorst: Math.max(...bad.map(outcome => outcome.exposedRequests)),
    fixedExposureMedian: fixedExposure,
    ofFixed: exposure / fixedExposure
  }
}

function runMany (count: number, run: (index: number) => RollOutOutcome): RollOutOutcome[] {
  return Array.from({ length: count }, (_, index) => run(index))
}

/** Runs a roll-out whose steps the guard decides. */
function runGuarded (world: World, user: WorldUser, version: WorldVersion, scoreShift: number, randomness: Randomness): RollOutOutcome {
  const guard = new SequentialRollOutGuard({ from: fromVersion, to: toVersion })
  const traffic = new RollOutTraffic(world, user, version, scoreShift, randomness)
  let step = 0
  while (step < rollOutSteps.length && traffic.seconds < maximumRequests / requestsPerSecond) {
    traffic.serve(rollOutSteps[step]!, guard)
    const verdict = guard.verdict()
    if (verdict === RollOutVerdict.Halt) return { halted: true, exposedRequests: traffic.exposedRequests, seconds: traffic.seconds }
    if (verdict === RollOutVerdict.Advance) step += 1
  }
  return { halted: false, exposedRequests: traffic.exposedRequests, seconds: traffic.seconds }
}

/** Runs a roll-out whose steps follow the fixed schedule. */
function runFixedTime (world: World, user: WorldUser, version: WorldVersion, scoreShift: number, randomness: Randomness): RollOutOutcome {
  const means = new MeanComparison()
  const traffic = new RollOutTraffic(world, user, version, scoreShift, randomness)
  for (const share of rollOutSteps) {
    const endSeconds = traffic.seconds + fixedStepSeconds
    while (traffic.seconds < endSeconds) traffic.serve(share, means)
    if (means.verdict() === RollOutVerdict.Halt) return { halted: true, exposedRequests: traffic.exposedRequests, seconds: traffic.seconds }
  }
  return { halted: false, exposedRequests: traffic.exposedRequests, seconds: traffic.seconds }
}

class MeanComparison implements RollOutGuard {
  readonly #sums = new Map<string, { count: number, sum: number }>()

  observe ({ version, rating }: RollOutEvidence): void {
    const known = this.#sums.get(version) ?? { count: 0, sum: 0 }
    this.#sums.set(version, { count: known.count + 1, sum: known.sum + (rating ?? 0) })
  }

  observeTime (): void {}

  verdict (): RollOutVerdict {
    const old = this.#sums.get(fromVersion)!
    const next = this.#sums.get(toVersion)
    const drop = next ? old.sum / old.count - next.sum / next.count : 0
    return drop > -badVersionScoreShift / 2 ? RollOutVerdict.Halt : RollOutVerdict.Continue
  }
}

/** Simulates the requests and ratings of a model during the roll-out of a new version. */
class RollOutTraffic {
  exposedRequests = 0
  seconds = 0
  readonly #pendingEvidence: { readonly dueSeconds: number, readonly evidence: RollOutEvidence }[] = []

  readonly #world: World
  readonly #user: WorldUser
  readonly #version: WorldVersion
  readonly #scoreShift: number
  readonly #randomness: Randomness

  constructor (world: World, user: WorldUser, version: WorldVersion, scoreShift: number, randomness: Randomness) {
    this.#world = world
    this.#user = user
    this.#version = version
    this.#scoreShift = scoreShift
    this.#randomness = randomness
  }

  serve (share: number, guard: RollOutGuard): void {
    this.seconds += 1 / requestsPerSecond
    while (this.#pendingEvidence.length > 0 && this.#pendingEvidence[0]!.dueSeconds <= this.seconds) guard.observe(this.#pendingEvidence.shift()!.evidence)
    const isNew = this.#randomness.fraction() < share
    if (isNew) this.exposedRequests += 1
    if (this.#randomness.fraction() >= (isNew ? newVersionRatedShare : oldVersionRatedShare)) return
    const request = drawRequest(this.#world, this.#user, this.#randomness)
    const score = trueScore(this.#world, this.#version, request.kind.name, request.difficulty, isNew ? this.#scoreShift : 0)
    const rating = drawRating(this.#world, score, this.#randomness)
    this.#pendingEvidence.push({ dueSeconds: this.seconds + ratingDelaySeconds, evidence: { version: isNew ? toVersion : fromVersion, kind: request.kind.name, rating, difficultyHint: request.difficultyHint, at: this.seconds * 1_000 } })
  }
}

function medianOf (numbers: readonly number[]): number {
  return [...numbers].sort((left, right) => left - right)[Math.floor(numbers.length / 2)] ?? 0
}

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    good: { type: 'string', default: '2000' },
    bad: { type: 'string', default: '200' },
    user: { type: 'string' },
    world: { type: 'string', default: 'bench/workloads.toml' },
    json: { type: 'boolean', default: false }
  }
})
const world = readWorld(readFileSync(values.world, 'utf8'))
const users = [...world.users.values()].filter(user => values.user === undefined || user.name === values.user)
const rows = users.flatMap(user => world.versions.map(version => measure(world, user, version)))
if (values.json) console.log(JSON.stringify({ seed: Number(values.seed), rows }))
else console.table(rows)
