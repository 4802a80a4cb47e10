/** All checks of a soak: pure functions from what was recorded to findings. */
import { findBrokenPromises, findDroppedRequests, findLateAnswers, findLostRequests, findMixedAnswers, findStreamGaps } from './answerChecks.ts'
import type { Finding } from './finding.ts'
import { findEndedProcesses, findFailures, findLargeProcesses, findLateStops } from './processChecks.ts'
import { findRepeatedRuns, findRunsSideBySide } from './runChecks.ts'
import { findWrongSettings } from './settingsChecks.ts'
import type { SoakView } from './soakView.ts'

const checks: readonly ((view: SoakView) => readonly Finding[])[] = [
  findLostRequests,
  findDroppedRequests,
  findLateAnswers,
  findBrokenPromises,
  findMixedAnswers,
  findStreamGaps,
  findRepeatedRuns,
  findRunsSideBySide,
  findWrongSettings,
  findEndedProcesses,
  findLateStops,
  findFailures,
  findLargeProcesses
]

/** Runs all checks. */
export function findAll (view: SoakView): readonly Finding[] {
  return checks.flatMap(check => check(view))
}
