import type { RandomSource } from './random-source.js'

/** A W3C trace context, as sent in the `traceparent` header and in peer frames. */
export interface TraceContext {
  readonly traceId: string
  readonly spanId: string
  readonly isSampled: boolean
}

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/

/** Parses a `traceparent` header. Returns undefined if it is missing or malformed, as the standard requires. */
export function parseTraceparent (header: string | undefined): TraceContext | undefined {
  const match = header === undefined ? null : TRACEPARENT.exec(header)
  const [, traceId, spanId, flags] = match ?? []
  if (traceId === undefined || spanId === undefined || flags === undefined) return undefined
  if (/^0+$/.test(traceId) || /^0+$/.test(spanId)) return undefined
  return { traceId, spanId, isSampled: (parseInt(flags, 16) & 1) === 1 }
}

/** Formats a trace context as a `traceparent` header. */
export function formatTraceparent (context: TraceContext): string {
  return `00-${context.traceId}-${context.spanId}-${context.isSampled ? '01' : '00'}`
}

/** Creates the context of a child span of `parent`, or of a new trace without a parent. */
export function deriveTraceContext (parent: TraceContext | undefined, random: RandomSource): TraceContext {
  return { traceId: parent?.traceId ?? random.drawHex(16), spanId: random.drawHex(8), isSampled: parent?.isSampled ?? true }
}
