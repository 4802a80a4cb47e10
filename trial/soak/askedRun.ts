/** What a request of a soak asks of its endpoint. It stands in the path, which gateways pass on unchanged. */

/** A run that a caller asks for. */
export interface AskedRun {
  /** Route, as `/query/`. */
  readonly prefix: string
  /** How many events a stream has, numbered from 1; 0 for a plain answer. */
  readonly eventCount: number
  /** The time before each event of a stream, or before a plain answer. */
  readonly workMilliseconds: number
}

/**
 * @example
 * askedRunPath({ prefix: '/query/', eventCount: 8, workMilliseconds: 60 }) // '/query/run?events=8&gap=60'
 */
export function askedRunPath ({ prefix, eventCount, workMilliseconds }: AskedRun): string {
  return eventCount === 0 ? `${prefix}run?work=${workMilliseconds}` : `${prefix}run?events=${eventCount}&gap=${workMilliseconds}`
}

/**
 * Reads a path; a part that is missing counts as 0.
 *
 * @example
 * readAskedRun('/release/run?work=50').workMilliseconds // 50
 */
export function readAskedRun (path: string): AskedRun {
  const { pathname, searchParams } = new URL(path, 'http://endpoint')
  const prefix = pathname.slice(0, pathname.lastIndexOf('/') + 1)
  return { prefix, eventCount: Number(searchParams.get('events') ?? 0), workMilliseconds: Number(searchParams.get('gap') ?? searchParams.get('work') ?? 0) }
}
