/** Finished span, with the fields of its JSON line. */
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

/** Destination of finished spans. */
export interface SpanLineWriter {
  /** Returns false when the span is dropped, because the buffer is full or the destination has failed. */
  writeSpan (line: SpanLine): boolean
  close (): Promise<void>
}
