/**
 * Baseline version policies to compare the learned policy with. Policies constructed from a world use
 * its true parameters, which no real policy can; they show what this knowledge would be worth.
 */
import { Err, Ok, Refusal, RefusalCode, RunState, type Result, type VersionName } from '../src/contract/index.ts'
import type { PlanStep, VersionCandidate, VersionPlan, VersionPolicy, VersionRequest } from '../src/choice/index.ts'
import { cheapestFixedVersion } from './worldLoad.ts'
import { trueScore, type World } from './world.ts'

/** The version name that the benches use for a version of the world. */
export function benchVersionName (name: string): VersionName {
  return `${name}@1`
}

abstract class FixedVersionPolicy implements VersionPolicy {
  plan (request: VersionRequest, candidates: readonly VersionCandidate[]): Result<VersionPlan, Refusal> {
    const available = candidates.filter(candidate => candidate.available).sort((left, right) => left.price - right.price)
    if (request.pinnedVersion !== undefined) return Ok({ steps: [unratedStep(request.pinnedVersion)] })
    if (available.length === 0) return Err(new Refusal(RefusalCode.NoEndpoint, RunState.NotRun, 'no version is available', 1))
    return Ok({ steps: this.steps(request, available) })
  }

  /** @param available cheapest first, not empty */
  protected abstract steps (request: VersionRequest, available: readonly VersionCandidate[]): PlanStep[]

  observeRating (): void {}

  observeRatingFailure (): void {}
}

/** Sends every request to the most expensive version. */
export class AlwaysStrongPolicy extends FixedVersionPolicy {
  protected steps (_request: VersionRequest, available: readonly VersionCandidate[]): PlanStep[] {
    return [unratedStep(available.at(-1)!.name)]
  }
}

/** Sends every request to the cheapest version. */
export class AlwaysCheapPolicy extends FixedVersionPolicy {
  protected steps (_request: VersionRequest, available: readonly VersionCandidate[]): PlanStep[] {
    return [unratedStep(available[0]!.name)]
  }
}

/** Sends each kind to the cheapest version that meets the quality target according to the world's parameters. */
export class CheapestFixedPolicy extends FixedVersionPolicy {
  readonly #world: World

  constructor (world: World) {
    super()
    this.#world = world
  }

  protected steps (request: VersionRequest, available: readonly VersionCandidate[]): PlanStep[] {
    const cheapestName = benchVersionName(cheapestFixedVersion(this.#world, request.kind).name)
    const chosen = available.find(candidate => candidate.name === cheapestName) ?? available.at(-1)!
    return [unratedStep(chosen.name)]
  }
}

/** Tries versions from the cheapest upwards until a rating reaches a fixed threshold; streamed requests are handled as in `CheapestFixedPolicy`. */
export class FixedThresholdCascadePolicy extends CheapestFixedPolicy {
  readonly #threshold: number

  /** @param threshold the lowest rating at which an answer is released */
  constructor (world: World, threshold: number) {
    super(world)
    this.#threshold = threshold
  }

  protected override steps (request: VersionRequest, available: readonly VersionCandidate[]): PlanStep[] {
    if (request.streamed) return super.steps(request, available)
    const ratedSteps = available.slice(0, -1).map(({ name }) => ({ version: name, releaseAtRating: this.#threshold, rateAfterwards: false }))
    return [...ratedSteps, unratedStep(available.at(-1)!.name)]
  }
}

/** The cheapest version whose answer is good, determined from the hidden difficulty. */
export function clairvoyantVersion (world: World, kind: string, difficulty: number): VersionName {
  const good = world.versions.find(version => trueScore(world, version, kind, difficulty) >= world.goodScoreThreshold)
  return benchVersionName((good ?? world.versions[0]!).name)
}

function unratedStep (version: VersionName): PlanStep {
  return { version, releaseAtRating: undefined, rateAfterwards: false }
}
