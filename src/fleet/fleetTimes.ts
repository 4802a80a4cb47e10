/** Times of the reports between gateways and seeds, which what is divided among a fleet rests on. In milliseconds. */

/** Reports are repeated after this time and then at doubling intervals, anew once a seed has ceased to answer. */
export const minimumIntervalMilliseconds = 1_500
export const maximumIntervalMilliseconds = 20_000
export const replyTimeoutMilliseconds = 1_000
/** A seed lists a gateway for this time after its last report. */
export const retentionMilliseconds = 60_000
/** Time by which a busy gateway's report may be late. */
const latenessMilliseconds = 3_000
/** A list is as old as this at most while reports succeed. */
export const maximumListAgeMilliseconds = maximumIntervalMilliseconds + 2 * replyTimeoutMilliseconds + latenessMilliseconds
