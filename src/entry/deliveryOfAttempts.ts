/** How far the attempts of one request can have come together, and what may still be said of `not_run`. */
import { Refusal, RunState } from '../contract/index.ts'
import { DeliveryState } from '../endpoint/index.ts'

const deliveryOrder = [DeliveryState.NotSent, DeliveryState.Rejected, DeliveryState.PossiblySent] as const

/**
 * The further of two reaches.
 *
 * @example
 * reach = furtherDelivery(reach, failure.reach)
 */
export function furtherDelivery (left: DeliveryState, right: DeliveryState): DeliveryState {
  return deliveryOrder.indexOf(left) > deliveryOrder.indexOf(right) ? left : right
}

/** Whether a request whose attempts came so far was run. */
export function runStateAfter (delivery: DeliveryState): RunState {
  return delivery === DeliveryState.PossiblySent ? RunState.Unknown : RunState.NotRun
}

/** A later refusal can't say `not_run` when an earlier attempt may have run. */
export function refusalAfter (delivery: DeliveryState, refusal: Refusal): Refusal {
  if (delivery !== DeliveryState.PossiblySent || refusal.run !== RunState.NotRun) return refusal
  return new Refusal(refusal.code, RunState.Unknown, refusal.message, refusal.retryAfterSeconds)
}
