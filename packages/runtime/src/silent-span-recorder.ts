import type { RandomSource } from './random-source.js'
import type { ActiveSpan, SpanRecorder } from './span-recorder.js'
import { deriveTraceContext, type TraceContext } from './trace-context.js'

/** Records no spans but still propagates the trace context. */
export class SilentSpanRecorder implements SpanRecorder {
  readonly #random: RandomSource

  constructor (random: RandomSource) {
    this.#random = random
  }

  startSpan (_name: string, parent: TraceContext | undefined): ActiveSpan {
    return { context: deriveTraceContext(parent, this.#random), end: () => {} }
  }
}
