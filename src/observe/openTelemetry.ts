/** Tracing with the OpenTelemetry SDK, exported as OTLP over HTTP. The SDK is loaded only if tracing is enabled. */
import type { Span as SdkSpan } from '@opentelemetry/api'
import type { Span, TraceContext, Tracer } from './trace.ts'

/**
 * Creates a tracer that exports its spans to an OTLP receiver.
 *
 * @param url URL of the receiver, such as `http://127.0.0.1:4318/v1/traces`
 * @param serviceInstance name of the VM
 * @example
 * const tracer = await createOpenTelemetryTracer(settings.telemetry.traces, settings.name)
 */
export async function createOpenTelemetryTracer (url: string, serviceInstance: string): Promise<Tracer> {
  const [api, sdk, exporter, resources] = await Promise.all([
    import('@opentelemetry/api'),
    import('@opentelemetry/sdk-trace-base'),
    import('@opentelemetry/exporter-trace-otlp-http'),
    import('@opentelemetry/resources')
  ])
  const provider = new sdk.BasicTracerProvider({
    resource: resources.resourceFromAttributes({ 'service.name': 'lavenderdoor', 'service.instance.id': serviceInstance }),
    spanProcessors: [new sdk.BatchSpanProcessor(new exporter.OTLPTraceExporter({ url }))]
  })
  const tracer = provider.getTracer('lavenderdoor')
  return {
    startSpan (name, kind, parent) {
      const context = parent === undefined ? api.ROOT_CONTEXT : api.trace.setSpanContext(api.ROOT_CONTEXT, remoteSpanContext(parent))
      const spanKind = kind === 'server' ? api.SpanKind.SERVER : api.SpanKind.CLIENT
      return new OpenTelemetrySpan(tracer.startSpan(name, { kind: spanKind }, context), api.SpanStatusCode.ERROR)
    },
    close: () => provider.shutdown()
  }
}

function remoteSpanContext (context: TraceContext) {
  return { traceId: context.traceId, spanId: context.spanId, traceFlags: context.sampled ? 1 : 0, isRemote: true }
}

class OpenTelemetrySpan implements Span {
  readonly #span: SdkSpan
  readonly #errorCode: number

  constructor (span: SdkSpan, errorCode: number) {
    this.#span = span
    this.#errorCode = errorCode
  }

  get context (): TraceContext {
    const { traceId, spanId, traceFlags } = this.#span.spanContext()
    return { traceId, spanId, sampled: (traceFlags & 1) === 1 }
  }

  setAttribute (name: string, value: string | number | boolean): void {
    this.#span.setAttribute(name, value)
  }

  end (failure?: string): void {
    if (failure !== undefined) this.#span.setStatus({ code: this.#errorCode, message: failure })
    this.#span.end()
  }
}
