import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import { drawFaults, type PlannedFault } from '@hibiscusledge/stand-ins/fault-plan.js'

export const FAULT_KINDS = [
  'kill', 'pause', 'plannedStop', 'muteLinks', 'cutLinks', 'cutStore', 'storeDown', 'storeHang', 'storeSlow', 'storeLoseReplies', 'storeFlap', 'storeRates',
  'startInOutage', 'operatorRace', 'targetLeaving', 'executorSilence', 'executorLoseAnswers', 'executorFreeze', 'workerLoseAnswers', 'workerFailAll'
] as const
export type FaultKind = typeof FAULT_KINDS[number]

/** One fault of a cell run. */
export type CellFault = PlannedFault<FaultKind>

const MINIMUM_FAULTS = 2
const MAXIMUM_FAULTS = 4
const FIRST_FAULT_AT_MS = 500
const MINIMUM_DURATION_MS = 1_500
/** Longer than the lease of 3 s, so that the lease expires during some faults. */
const MAXIMUM_DURATION_MS = 6_000

/** Draws the faults of one run. */
export function drawFaultPlan (seed: number, random: RandomSource, sendDurationMs: number): CellFault[] {
  return drawFaults(FAULT_KINDS, seed, random, {
    minimumFaults: MINIMUM_FAULTS,
    maximumFaults: MAXIMUM_FAULTS,
    firstAtMs: FIRST_FAULT_AT_MS,
    lastAtMs: sendDurationMs,
    minimumDurationMs: MINIMUM_DURATION_MS,
    maximumDurationMs: MAXIMUM_DURATION_MS
  })
}
