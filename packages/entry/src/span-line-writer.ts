/** One finished span in the form of its JSON line. */
export interface SpanLine {
  readonly traceId: string
  readonly spanId: string
  readonly parentSpanId: string | null
  readonly name: string
  /** ISO 8601, UTC. */
  readonly startedAt: string
  readonly durationMs: number
  readonly attributes: Readonly<Record<string, unknown>>
}

/** Takes finished spans. Returns false when it is full and the span is dropped. */
export interface SpanLineWriter {
  writeSpan (line: SpanLine): boolean
  close (): Promise<void>
}
