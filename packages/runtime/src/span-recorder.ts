import type { TraceContext } from './trace-context.js'

export type SpanAttributes = Readonly<Record<string, string | number | boolean>>

/** A span that has started. `context` is what the next hop gets as its parent. */
export interface ActiveSpan {
  readonly context: TraceContext
  end (attributes?: SpanAttributes): void
}

/** Records one span per hop. */
export interface SpanRecorder {
  startSpan (name: string, parent: TraceContext | undefined, attributes?: SpanAttributes): ActiveSpan
}
