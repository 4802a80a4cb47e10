/**
 * What operators allow a service to receive beyond the first arrival of each request: in any window at most a share
 * of its requests and some on top of it, over all gateways together. Its requests are those of the window, of the
 * one before or of the one half a window before, whichever has most.
 */
export interface RetryLimits {
  /** Retries for each request; 0 or more. */
  readonly ratio: number
  readonly windowMilliseconds: number
  /** Retries in each window regardless of the number of requests. */
  readonly slack: number
}
