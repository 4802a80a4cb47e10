/**
 * How much work a request is, in milliseconds of an endpoint that runs nothing else. Only ratios
 * matter to a choice, so the rates of one usual engine serve for all.
 */
import { type Route, type RoutedService, Repetition } from '../routing/index.ts'

const prefillMillisecondsPerToken = 0.05
const decodeMillisecondsPerToken = 0.25
/** Of a plain service's objective, what one call usually takes. */
const plainShareOfObjective = 0.2
/** The smallest model is still some work. */
const leastModelShare = 0.1

/** A request's work at an endpoint. */
export interface RequestWork {
  /** Until its first token: reading the prompt. */
  readonly prefillMilliseconds: number
  /** Making the answer. */
  readonly answerMilliseconds: number
}

/**
 * The usual work of a request.
 *
 * @param model that it is to run on; undefined for a plain service
 * @example
 * const work = usualWork(route, service, 'large', 12_000, 380)
 */
export function usualWork (route: Route, service: RoutedService | undefined, model: string | undefined, promptTokens: number, outputTokens: number): RequestWork {
  if (route.repetition !== Repetition.Stream) {
    return { prefillMilliseconds: 0, answerMilliseconds: route.objectiveMilliseconds * plainShareOfObjective }
  }
  const share = modelShare(service, model)
  return {
    prefillMilliseconds: promptTokens * prefillMillisecondsPerToken * share,
    answerMilliseconds: outputTokens * decodeMillisecondsPerToken * share
  }
}

function modelShare (service: RoutedService | undefined, model: string | undefined): number {
  const models = service?.models ?? []
  const dearest = Math.max(0, ...models.map(({ cost }) => cost))
  const own = models.find(({ name }) => name === model)?.cost
  if (own === undefined || dearest === 0) return 1
  return Math.max(leastModelShare, own / dearest)
}
