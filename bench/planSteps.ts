/** Rules for advancing through the steps of a version plan. */
import type { PlanStep } from '../src/choice/index.ts'

/** Whether a rated answer is released to the caller: it is good enough, or too poor for the next version to be worth trying. */
export function isReleased (step: PlanStep, rating: number): boolean {
  return rating >= step.releaseAtRating! || rating < (step.releaseBelowRating ?? 0)
}

/** @returns the position of the step to run after an answer that was not released */
export function nextPosition (steps: readonly PlanStep[], position: number, rating: number | undefined): number {
  const skips = rating !== undefined && rating < (steps[position]!.skipNextBelowRating ?? 0) && position + 2 < steps.length
  return position + (skips ? 2 : 1)
}
