import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'

/** One fault of a run. Several may be active at a time. */
export interface PlannedFault<Kind extends string> {
  readonly kind: Kind
  /** Time after the start of the run. */
  readonly atMs: number
  readonly durationMs: number
  /** Selects the instance or target, modulo their number, or seeds the random choices of the fault. */
  readonly selector: number
}

/** Bounds of the faults of one run. The upper bounds of times are exclusive. */
export interface FaultPlanBounds {
  readonly minimumFaults: number
  readonly maximumFaults: number
  readonly firstAtMs: number
  readonly lastAtMs: number
  readonly minimumDurationMs: number
  readonly maximumDurationMs: number
}

const SELECTOR_BOUND = 1_000

/**
 * Draws the faults of one run, in order of their times. The kind that is drawn first cycles with the seed, so that consecutive
 * seeds cover all kinds.
 */
export function drawFaults<Kind extends string> (
  kinds: readonly [Kind, ...Kind[]], seed: number, random: RandomSource, bounds: FaultPlanBounds
): PlannedFault<Kind>[] {
  const { minimumFaults, maximumFaults, firstAtMs, lastAtMs, minimumDurationMs, maximumDurationMs } = bounds
  const count = minimumFaults + random.drawInteger(maximumFaults - minimumFaults + 1)
  const faults = Array.from({ length: count }, (_, index) => ({
    kind: kinds[index === 0 ? seed % kinds.length : random.drawInteger(kinds.length)] ?? kinds[0],
    atMs: firstAtMs + random.drawInteger(lastAtMs - firstAtMs),
    durationMs: minimumDurationMs + random.drawInteger(maximumDurationMs - minimumDurationMs),
    selector: random.drawInteger(SELECTOR_BOUND)
  }))
  return faults.sort((left, right) => left.atMs - right.atMs)
}
