/** The header in which endpoints announce how many requests a second they take from all daemons together. */
import type { IncomingHttpHeaders } from 'node:http'
import { type ReadRateAnnouncement, readRateAnnouncement } from '../rateLimit/index.ts'

/** The header's name. */
export const rateHeader = 'x-requests-per-second'

/**
 * Reads the announcement in the headers of a response.
 *
 * @example
 * gate.recordResponse(announcementIn(head.headers), head.status < 400)
 */
export function announcementIn (headers: IncomingHttpHeaders): ReadRateAnnouncement {
  return readRateAnnouncement([headers[rateHeader] ?? []].flat())
}
