/**
 * Distributed tracing: one span for each hop of a request, linked by the W3C trace context. Without a
 * trace receiver no spans are created, and the caller's context is propagated unchanged.
 */

/** Identifies a span within its trace. */
export interface TraceContext {
  /** 32 hexadecimal digits. */
  readonly traceId: string
  /** 16 hexadecimal digits. */
  readonly spanId: string
  readonly sampled: boolean
}

/** A unit of work within a trace, such as one hop of a request. */
export interface Span {
  /** Propagated to the next hop; undefined if the request is not traced. */
  readonly context: TraceContext | undefined
  setAttribute (name: string, value: string | number | boolean): void
  /** Ends the span; with `failure`, sets its status to error. */
  end (failure?: string): void
}

/** Creates spans. */
export interface Tracer {
  /**
   * Starts a span.
   *
   * @param kind `server` for a request that is handled, `client` for one that is sent
   * @example
   * const span = tracer.start('attempt', 'client', request.context)
   */
  startSpan (name: string, kind: 'server' | 'client', parent: TraceContext | undefined): Span
  /** Exports the remaining spans and shuts down. */
  close (): Promise<void>
}

/** Creates no spans; propagates the context of the parent. */
export class NoopTracer implements Tracer {
  startSpan (_name: string, _kind: 'server' | 'client', parent: TraceContext | undefined): Span {
    return { context: parent, setAttribute: () => {}, end: () => {} }
  }

  async close (): Promise<void> {}
}

const traceParentPattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/

/**
 * Parses a `traceparent` header; undefined if it is absent or malformed.
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
 * Formats a `traceparent` header; undefined if the request is not traced.
 *
 * @example
 * headers.traceparent = formatTraceParent(span.context)
 */
export function formatTraceParent (context: TraceContext | undefined): string | undefined {
  if (context === undefined) return undefined
  return `00-${context.traceId}-${context.spanId}-${context.sampled ? '01' : '00'}`
}
