/**
 * Estimates the work of a request, in milliseconds of an otherwise idle endpoint. Only ratios matter for
 * placement, so the rates of one typical engine are used for all.
 */
import { type Route, type RoutedService, RouteType } from '../routing/index.ts'

const prefillMillisecondsPerToken = 0.05
const decodeMillisecondsPerToken = 0.25
/** Typical duration of a call to a plain service, as a share of its latency target. */
const plainLatencyTargetShare = 0.2
/** Lower bound of a model's relative cost, since even the smallest model causes some work. */
const minimumModelCostShare = 0.1

export interface RequestWork {
  /** Prefill: processing the prompt until the first token. */
  readonly prefillMilliseconds: number
  /** Generating the response. */
  readonly generationMilliseconds: number
}

/**
 * Estimates the work of a request.
 *
 * @param model that the request runs on; undefined for a plain service
 * @example
 * const work = estimateWork(route, service, 'large', 12_000, 380)
 */
export function estimateWork (route: Route, service: RoutedService | undefined, model: string | undefined, promptTokens: number, outputTokens: number): RequestWork {
  if (route.type !== RouteType.Stream) {
    return { prefillMilliseconds: 0, generationMilliseconds: route.latencyTargetMilliseconds * plainLatencyTargetShare }
  }
  const costShare = modelCostShare(service, model)
  return {
    prefillMilliseconds: promptTokens * prefillMillisecondsPerToken * costShare,
    generationMilliseconds: outputTokens * decodeMillisecondsPerToken * costShare
  }
}

function modelCostShare (service: RoutedService | undefined, model: string | undefined): number {
  const models = service?.models ?? []
  const highestCost = Math.max(0, ...models.map(({ cost }) => cost))
  const modelCost = models.find(({ name }) => name === model)?.cost
  if (modelCost === undefined || highestCost === 0) return 1
  return Math.max(minimumModelCostShare, modelCost / highestCost)
}
