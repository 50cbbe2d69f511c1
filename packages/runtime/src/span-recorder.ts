import type { TraceContext } from './trace-context.js'

export type SpanAttributes = Readonly<Record<string, string | number | boolean>>

/** A started span. `context` is passed to the next hop as its parent. */
export interface ActiveSpan {
  readonly context: TraceContext
  end (attributes?: SpanAttributes): void
}

/** Records one span for each hop of a request. */
export interface SpanRecorder {
  startSpan (name: string, parent: TraceContext | undefined, attributes?: SpanAttributes): ActiveSpan
}
