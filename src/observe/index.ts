/** Observability: JSON-lines logs, metrics and traces. */
export { Log, LogLevel, type LogFields } from './log.ts'
export { LineQueue, descriptorSink, type ByteSink } from './lineQueue.ts'
export { type EventLoopStallMetrics, EventLoopStalls, createStallMetrics } from './eventLoopStalls.ts'
export { Metrics } from './metrics.ts'
export { type Span, type Tracer, type TraceContext, NoopTracer, parseTraceParent, formatTraceParent } from './trace.ts'
export { createOpenTelemetryTracer } from './openTelemetry.ts'
