/** Reads the rate limit that an endpoint announces in a response. The text is input from outside: whatever it is, the result is defined. */
import type { RateAnnouncement } from './contract.ts'

/** A higher limit never binds. */
const maximumRequestsPerSecond = 1_000_000
const maximumQuotedLength = 40
const decimalNumberPattern = /^(\d+(\.\d*)?|\.\d+)(e[+-]?\d+)?$/i

/** A decoded announcement. */
export interface ReadRateAnnouncement {
  readonly announcement: RateAnnouncement
  /** Why a part of it was ignored; undefined if all of it is valid. */
  readonly error: string | undefined
}

/**
 * Reads the values of a header that names a limit in requests a second. Of several valid values the lowest
 * counts; values that are not decimal numbers are ignored.
 *
 * @param values of the header, one for each time it occurs; empty if it is absent
 * @example
 * readRateAnnouncement(['2.5']).announcement // { type: 'limited', requestsPerSecond: 2.5 }
 */
export function readRateAnnouncement (values: readonly string[]): ReadRateAnnouncement {
  if (values.length === 0) return { announcement: { type: 'unlimited' }, error: undefined }
  const texts = values.flatMap(value => value.split(',')).map(text => text.trim())
  const rates = texts.filter(text => decimalNumberPattern.test(text)).map(Number)
  const isValid = texts.length === 1 && rates.length === 1 && rates[0]! <= maximumRequestsPerSecond
  const error = isValid ? undefined : `"${values.join(', ').slice(0, maximumQuotedLength)}" is not one limit of 0 to ${maximumRequestsPerSecond} requests a second`
  if (rates.length === 0) return { announcement: { type: 'unreadable' }, error }
  return { announcement: { type: 'limited', requestsPerSecond: Math.min(maximumRequestsPerSecond, ...rates) }, error }
}
