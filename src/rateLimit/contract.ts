/** What endpoints say of the rate of requests that they take. All times are milliseconds of the process's clock. */

/** What one response says of its endpoint's rate limit. */
export type RateAnnouncement =
  /** The endpoint has no limit. */
  | { readonly type: 'unlimited' }
  /** The endpoint takes so many requests a second from all gateways together; 0 or more. */
  | { readonly type: 'limited', readonly requestsPerSecond: number }
  /** It says something that can't be read, so what it said before still holds. */
  | { readonly type: 'unreadable' }
