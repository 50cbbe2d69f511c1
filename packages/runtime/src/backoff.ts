import type { RandomSource } from './random-source.js'

/** Bounds of an exponential backoff. */
export interface BackoffLimits {
  readonly initialMs: number
  readonly maximumMs: number
}

/** Returns the delay before retry number `retry` (from 0) in milliseconds: half of the exponential bound plus jitter up to all of it. */
export function computeBackoffMs (retry: number, limits: BackoffLimits, random: RandomSource): number {
  const ceilingMs = Math.min(limits.maximumMs, limits.initialMs * 2 ** Math.min(retry, 30))
  return ceilingMs / 2 + random.drawFraction() * ceilingMs / 2
}
