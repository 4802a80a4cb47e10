/**
 * Estimates how a version policy distributes work over versions, so that accelerators can be assigned in
 * proportion, as an operator would do. Requests are planned and rated without simulating engines.
 */
import { modelOf, type Randomness } from '../src/contract/index.ts'
import type { PlanStep, VersionPolicy } from '../src/choice/index.ts'
import { isReleased, nextPosition } from './planSteps.ts'
import { benchVersionName } from './versionBaselines.ts'
import { drawRating, drawRequest, trueScore, type World, type WorldRequest, type WorldUser } from './world.ts'

const sampledRequests = 2_000
const ampleDeadlineMilliseconds = 120_000

/**
 * Samples 2 000 requests and sums up decode time by version.
 *
 * @returns share of the decode time by version name
 *
 * @example
 * const shares = workShares(world, user, policy, new SeededRandomness(1))
 */
export function workShares (world: World, user: WorldUser, policy: VersionPolicy, randomness: Randomness): Map<string, number> {
  const candidates = world.versions.map(({ name, price }) => ({ name: benchVersionName(name), price, available: true }))
  const millisecondsByModel = new Map<string, number>(world.versions.map(version => [version.name, 0]))
  for (let index = 0; index < sampledRequests; index++) {
    const request = drawRequest(world, user, randomness)
    const plan = policy.plan({
      organisation: request.organisation,
      kind: request.kind.name,
      pinnedVersion: undefined,
      streamed: request.streamed,
      promptTokens: request.inputTokens,
      expectedCompletionTokens: request.outputTokens,
      difficultyHint: request.difficultyHint,
      remainingMilliseconds: ampleDeadlineMilliseconds,
      qualityTarget: world.qualityTarget,
      opensSession: false
    }, candidates, index)
    if (!plan.ok) continue
    for (const name of executedModels(world, request, plan.val.steps, randomness)) millisecondsByModel.set(name, millisecondsByModel.get(name)! + decodeMilliseconds(world, name, request))
  }
  const total = [...millisecondsByModel.values()].reduce((sum, milliseconds) => sum + milliseconds, 0)
  return new Map([...millisecondsByModel].map(([name, milliseconds]) => [name, milliseconds / total]))
}

/** The models that a plan runs until an answer is released, in order. */
function executedModels (world: World, request: WorldRequest, steps: readonly PlanStep[], randomness: Randomness): string[] {
  const names: string[] = []
  for (let position = 0; position < steps.length;) {
    const step = steps[position]!
    const name = modelOf(step.version)
    names.push(name)
    if (step.releaseAtRating === undefined) return names
    const version = world.versions.find(entry => entry.name === name)!
    const rating = drawRating(world, trueScore(world, version, request.kind.name, request.difficulty), randomness)
    if (isReleased(step, rating)) return names
    position = nextPosition(steps, position, rating)
  }
  return names
}

/** Accelerator time of an answer in a full batch, on a fast accelerator: speed 1, with the stream limit of the world's first hardware. */
function decodeMilliseconds (world: World, name: string, request: WorldRequest): number {
  const { base, perStream } = world.versions.find(version => version.name === name)!.decodeMilliseconds
  const { streams } = world.hardware[0]!
  return request.outputTokens * (base + perStream * streams) / streams
}
