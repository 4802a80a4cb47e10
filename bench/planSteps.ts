/** How the steps of a version plan are walked. */
import type { PlanStep } from '../src/choice/index.ts'

/** Whether a rated answer goes to the caller. */
export function isReleased (step: PlanStep, rating: number): boolean {
  return rating >= step.releaseAtRating! || rating < (step.releaseBelowRating ?? 0)
}

/** The step after one that was not released. */
export function nextPosition (steps: readonly PlanStep[], position: number, rating: number | undefined): number {
  const skips = rating !== undefined && rating < (steps[position]!.skipNextBelowRating ?? 0) && position + 2 < steps.length
  return position + (skips ? 2 : 1)
}
