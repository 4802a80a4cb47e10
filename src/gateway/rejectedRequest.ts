/**
 * Why an endpoint rejects a request with the status for a wrong address: either it is not the endpoint that the
 * request names, or it does not take the request, most often since it does not run the model that is asked. Only the
 * first tells anything of the endpoint; otherwise a caller who names models that don't exist would take endpoints out
 * of service.
 */
import type { RequestHead, ResponseHead, Route, RoutedEndpoint } from '../routing/index.ts'

export interface RejectedRequest {
  readonly head: Pick<RequestHead, 'model' | 'acceptsAnyModel'>
  readonly route: Pick<Route, 'modelSizes'>
  /** The endpoint that the request was meant for. */
  readonly endpoint: Pick<RoutedEndpoint, 'identity' | 'models'>
  /** The model that the attempt asked; undefined if it passed on what its caller named. */
  readonly model: string | undefined
  readonly response: Pick<ResponseHead, 'responder'>
  /** Whether the endpoint has answered so lately that no other one can have its address. */
  readonly hasJustAnswered: boolean
}

/**
 * Whether a rejection may be due to the request. It is if the endpoint itself responds, and it is not if another one
 * does. If the response does not say, it is if the endpoint has just answered others, and it may be due to the model
 * that the caller named, unless the route allows that and the endpoint's own registration lists it.
 *
 * @example
 * if (!isRequestAtFault({ head, route, endpoint, model, response, hasJustAnswered })) misdirected.recordRejection(endpoint, sentAt, now)
 */
export function isRequestAtFault (rejected: RejectedRequest): boolean {
  const { responder } = rejected.response
  if (responder !== undefined) return responder === rejected.endpoint.identity
  return rejected.hasJustAnswered || mayLackModel(rejected)
}

function mayLackModel ({ head, route, endpoint, model = head.model }: RejectedRequest): boolean {
  if (model === undefined) return false
  const isOfRoute = route.modelSizes.includes(model)
  if (head.acceptsAnyModel && isOfRoute) return false
  const isAllowed = isOfRoute || route.modelSizes.length === 0
  return !isAllowed || !endpoint.models.includes(model)
}
