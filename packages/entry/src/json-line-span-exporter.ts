import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base'
import { LOG_EVENTS } from './log-events.js'
import type { SpanLine, SpanLineWriter } from './span-line-writer.js'

type HrTime = ReadableSpan['startTime']
type ExportResult = Parameters<Parameters<SpanExporter['export']>[1]>[0]

const EXPORT_SUCCESS = 0

/** Exports spans as JSON lines, and logs how many the writer has dropped. */
export class JsonLineSpanExporter implements SpanExporter {
  readonly #writer: SpanLineWriter
  readonly #logger: EventLogger

  constructor (writer: SpanLineWriter, logger: EventLogger) {
    this.#writer = writer
    this.#logger = logger
  }

  export (spans: ReadableSpan[], onResult: (result: ExportResult) => void): void {
    let dropped = 0
    for (const span of spans) {
      if (!this.#writer.writeSpan(createSpanLine(span))) dropped++
    }
    if (dropped > 0) this.#logger.logWarning(LOG_EVENTS.spansDropped, { dropped })
    onResult({ code: EXPORT_SUCCESS })
  }

  async shutdown (): Promise<void> {
    await this.#writer.close()
  }
}

function createSpanLine (span: ReadableSpan): SpanLine {
  const { traceId, spanId } = span.spanContext()
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId ?? null,
    name: span.name,
    startedAt: new Date(toMilliseconds(span.startTime)).toISOString(),
    durationMs: Math.round(toMilliseconds(span.duration) * 1_000) / 1_000,
    attributes: span.attributes
  }
}

function toMilliseconds ([seconds, nanoseconds]: HrTime): number {
  return seconds * 1_000 + nanoseconds / 1_000_000
}
