/**
 * What a request of a soak asks of its endpoint. It stands in the path, which gateways pass on unchanged, so that callers,
 * endpoints and checks read the same.
 */

/** A run that a caller asks for. */
export interface AskedRun {
  /** Route, as `/query/`. */
  readonly prefix: string
  /** How many events a stream has, numbered from 1; 0 for a plain answer. */
  readonly eventCount: number
  /** How long the whole run takes. Events are spread evenly over it. */
  readonly milliseconds: number
}

/**
 * @example
 * askedRunPath({ prefix: '/query/', eventCount: 8, milliseconds: 700 }) // '/query/run?events=8&milliseconds=700'
 */
export function askedRunPath ({ prefix, eventCount, milliseconds }: AskedRun): string {
  return `${prefix}run?events=${eventCount}&milliseconds=${milliseconds}`
}

/**
 * Reads a path; a part that is missing counts as 0.
 *
 * @example
 * readAskedRun('/release/run?events=0&milliseconds=50').milliseconds // 50
 */
export function readAskedRun (path: string): AskedRun {
  const { pathname, searchParams } = new URL(path, 'http://endpoint')
  const prefix = pathname.slice(0, pathname.lastIndexOf('/') + 1)
  return { prefix, eventCount: Number(searchParams.get('events') ?? 0), milliseconds: Number(searchParams.get('milliseconds') ?? 0) }
}
