/** Combines the delivery states of a request's attempts, which decide whether `not_run` may be reported. */
import { Refusal, RunState } from '../contract/index.ts'
import { DeliveryState } from '../endpoint/index.ts'

const deliveryOrder = [DeliveryState.NotSent, DeliveryState.Rejected, DeliveryState.PossiblySent] as const

/**
 * Returns the state in which the request is more likely to have run.
 *
 * @example
 * delivery = furtherDelivery(delivery, failure.delivery)
 */
export function furtherDelivery (left: DeliveryState, right: DeliveryState): DeliveryState {
  return deliveryOrder.indexOf(left) > deliveryOrder.indexOf(right) ? left : right
}

/** Returns the run state to report for a combined delivery state. */
export function runStateAfter (delivery: DeliveryState): RunState {
  return delivery === DeliveryState.PossiblySent ? RunState.Unknown : RunState.NotRun
}

/** Changes `not_run` to `unknown` in a refusal if an earlier attempt may have run. */
export function refusalAfter (delivery: DeliveryState, refusal: Refusal): Refusal {
  if (delivery !== DeliveryState.PossiblySent || refusal.run !== RunState.NotRun) return refusal
  return new Refusal(refusal.code, RunState.Unknown, refusal.message, refusal.retryAfterSeconds)
}
