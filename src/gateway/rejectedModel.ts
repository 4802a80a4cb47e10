/**
 * Why an endpoint rejects a request with the status for a wrong address: either it is not the endpoint that the
 * request names, or it does not run the model that is asked. Only the first tells anything of the endpoint; otherwise
 * a caller who names models that don't exist would take endpoints out of service.
 */
import type { RequestHead, Route, RoutedEndpoint } from '../routing/index.ts'

export interface RejectedRequest {
  readonly head: Pick<RequestHead, 'model' | 'acceptsAnyModel'>
  readonly route: Pick<Route, 'modelSizes'>
  readonly endpoint: Pick<RoutedEndpoint, 'models'>
  /** The model that the attempt asked; undefined if it passed on what its caller named. */
  readonly model: string | undefined
}

/**
 * Whether a rejection may be due to a model that the caller named. It can't be if the gateway chose the model, or if
 * the route allows it and the endpoint's own registration lists it.
 *
 * @example
 * if (!mayRejectModel({ head, route, endpoint, model })) misdirected.recordRejection(endpoint, sentAt, now)
 */
export function mayRejectModel ({ head, route, endpoint, model = head.model }: RejectedRequest): boolean {
  if (model === undefined) return false
  const isOfRoute = route.modelSizes.includes(model)
  if (head.acceptsAnyModel && isOfRoute) return false
  const isAllowed = isOfRoute || route.modelSizes.length === 0
  return !isAllowed || !endpoint.models.includes(model)
}
