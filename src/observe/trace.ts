/**
 * Traces: a span for each hop of a request, joined by the W3C trace context. Without a receiver no
 * span is made, and the caller's context is passed on as it came.
 */

/** The position of a hop in its trace. */
export interface TraceContext {
  /** 32 hexadecimal digits. */
  readonly traceId: string
  /** 16 hexadecimal digits. */
  readonly spanId: string
  readonly sampled: boolean
}

/** One hop of a request. */
export interface Span {
  /** Passed on to the next hop; undefined where there is no trace. */
  readonly context: TraceContext | undefined
  setAttribute (name: string, value: string | number | boolean): void
  /** Ends the span; `failure` marks it as failed. */
  end (failure?: string): void
}

/** Makes spans. */
export interface Tracer {
  /**
   * Starts a span.
   *
   * @param kind `server` for a hop that answers, `client` for one that asks
   * @example
   * const span = tracer.start('attempt', 'client', request.context)
   */
  startSpan (name: string, kind: 'server' | 'client', parent: TraceContext | undefined): Span
  /** Sends what is not sent yet. */
  close (): Promise<void>
}

/** Makes no spans. */
export class NoopTracer implements Tracer {
  startSpan (_name: string, _kind: 'server' | 'client', parent: TraceContext | undefined): Span {
    return { context: parent, setAttribute: () => {}, end: () => {} }
  }

  async close (): Promise<void> {}
}

const traceParentPattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/

/**
 * Reads a `traceparent` header; undefined where it is absent or malformed.
 *
 * @example
 * const context = parseTraceParent(request.headers.traceparent)
 */
export function parseTraceParent (header: string | undefined): TraceContext | undefined {
  const match = header === undefined ? null : traceParentPattern.exec(header)
  const [, traceId, spanId, flags] = match ?? []
  if (traceId === undefined || spanId === undefined || flags === undefined) return undefined
  if (/^0+$/.test(traceId) || /^0+$/.test(spanId)) return undefined
  return { traceId, spanId, sampled: (parseInt(flags, 16) & 1) === 1 }
}

/**
 * Writes a `traceparent` header; undefined where there is no trace.
 *
 * @example
 * headers.traceparent = formatTraceParent(span.context)
 */
export function formatTraceParent (context: TraceContext | undefined): string | undefined {
  if (context === undefined) return undefined
  return `00-${context.traceId}-${context.spanId}-${context.sampled ? '01' : '00'}`
}
