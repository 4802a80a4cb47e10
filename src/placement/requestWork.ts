/**
 * How much work a request is, in milliseconds of an endpoint that runs nothing else. Only ratios
 * matter to a choice, so the rates of one usual engine serve for all.
 */
import { type Route, type RoutedService, RouteType } from '../routing/index.ts'

const prefillMillisecondsPerToken = 0.05
const decodeMillisecondsPerToken = 0.25
/** Of a plain service's objective, what one call usually takes. */
const plainLatencyTargetShare = 0.2
/** The smallest model is still some work. */
const minimumModelCostShare = 0.1

/** A request's work at an endpoint. */
export interface RequestWork {
  /** Until its first token: reading the prompt. */
  readonly prefillMilliseconds: number
  /** Making the answer. */
  readonly generationMilliseconds: number
}

/**
 * The usual work of a request.
 *
 * @param model that it is to run on; undefined for a plain service
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
