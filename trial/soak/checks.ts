/** All checks of a soak: pure functions from what was recorded to findings. */
import { findBrokenPromises, findDroppedRequests, findLateAnswers, findLostRequests, findMixedAnswers, findStreamGaps } from './answerChecks.ts'
import type { Finding } from './finding.ts'
import { findEndedProcesses, findFailures, findLargeProcesses, findLateStops } from './processChecks.ts'
import { findRepeatedRuns, findRunsSideBySide } from './runChecks.ts'
import { findWrongSettings } from './settingsChecks.ts'
import type { SoakView } from './soakView.ts'

type Check = (view: SoakView) => readonly Finding[]

const checks: readonly Check[] = [
  findLostRequests,
  findDroppedRequests,
  findBrokenPromises,
  findMixedAnswers,
  findStreamGaps,
  findRepeatedRuns,
  findEndedProcesses,
  findFailures,
  findLargeProcesses
]

/** Checks of bounds of time, which a machine that is busy with other work may break as well. */
const timedChecks: readonly Check[] = [
  findLateAnswers,
  findRunsSideBySide,
  findWrongSettings,
  findLateStops
]

/** Runs all checks. */
export function findAll (view: SoakView): readonly Finding[] {
  const timed = timedChecks.flatMap(check => check(view)).map(finding => ({ ...finding, isTimed: true }))
  return [...checks.flatMap(check => check(view)), ...timed]
}
