import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { ActiveSpan, SpanAttributes, SpanRecorder } from '@hibiscusledge/runtime/span-recorder.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import { ROOT_CONTEXT, TraceFlags, trace, type Context, type Tracer } from '@opentelemetry/api'
import { BasicTracerProvider, BatchSpanProcessor, type SpanExporter } from '@opentelemetry/sdk-trace-base'

/** The processor drops spans when its queue is full, so tracing never blocks requests. */
const MAX_QUEUE_SIZE = 4_096
const MAX_BATCH_SIZE = 512
const BATCH_DELAY_MS = 1_000

/** Records spans with OpenTelemetry and exports them in batches. */
export class OpenTelemetrySpanRecorder implements SpanRecorder {
  readonly #provider: BasicTracerProvider
  readonly #tracer: Tracer

  constructor (exporter: SpanExporter, random: RandomSource) {
    this.#provider = new BasicTracerProvider({
      idGenerator: { generateTraceId: () => random.drawHex(16), generateSpanId: () => random.drawHex(8) },
      spanProcessors: [new BatchSpanProcessor(exporter, {
        maxQueueSize: MAX_QUEUE_SIZE,
        maxExportBatchSize: MAX_BATCH_SIZE,
        scheduledDelayMillis: BATCH_DELAY_MS
      })]
    })
    this.#tracer = this.#provider.getTracer('hibiscusledge')
  }

  startSpan (name: string, parent: TraceContext | undefined, attributes: SpanAttributes = {}): ActiveSpan {
    const span = this.#tracer.startSpan(name, { attributes: { ...attributes } }, createContext(parent))
    const { traceId, spanId, traceFlags } = span.spanContext()
    return {
      context: { traceId, spanId, isSampled: (traceFlags & TraceFlags.SAMPLED) !== 0 },
      end: (endAttributes) => {
        if (endAttributes !== undefined) span.setAttributes({ ...endAttributes })
        span.end()
      }
    }
  }

  /** Exports the queued spans and closes the exporter. */
  async close (): Promise<void> {
    await this.#provider.shutdown()
  }
}

function createContext (parent: TraceContext | undefined): Context {
  if (parent === undefined) return ROOT_CONTEXT
  const { traceId, spanId, isSampled } = parent
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId, spanId, traceFlags: isSampled ? TraceFlags.SAMPLED : TraceFlags.NONE, isRemote: true
  })
}
