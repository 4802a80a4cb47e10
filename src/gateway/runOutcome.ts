/** How a run of a streamed request ended, for the choice of what follows it. */

/** Outcome of one run, as far as it affects the next. */
export const RunOutcome = {
  /** The complete response was delivered, or no further run is needed. */
  Done: 'done',
  /** The endpoint did not execute the request. */
  NotExecuted: 'not_run',
  /** The request was never sent. */
  Unsent: 'unsent',
  /** The run may have executed and broke off. */
  Broken: 'broken',
  /** The endpoint responded with an error. */
  Failed: 'failed',
  /** The response was discarded because of its low confidence. */
  Discarded: 'dropped'
} as const
export type RunOutcome = typeof RunOutcome[keyof typeof RunOutcome]
