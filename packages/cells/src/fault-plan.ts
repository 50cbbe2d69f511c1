import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'

export const FAULT_KINDS = [
  'kill', 'pause', 'plannedStop', 'muteLinks', 'cutLinks', 'cutStore', 'storeDown', 'storeHang', 'storeSlow', 'storeLoseReplies', 'storeFlap', 'storeRates',
  'startInOutage', 'operatorRace', 'targetLeaving', 'executorSilence', 'executorLoseAnswers', 'executorFreeze', 'workerLoseAnswers', 'workerFailAll'
] as const
export type FaultKind = typeof FAULT_KINDS[number]

export interface PlannedFault {
  readonly kind: FaultKind
  /** Time after the start of the plan. */
  readonly atMs: number
  readonly durationMs: number
  /** Selects the instance or target, modulo their number, or seeds the random choices of the fault. */
  readonly selector: number
}

const MIN_FAULTS = 2
const MAX_FAULTS = 4
const MIN_DURATION_MS = 1500
/** Longer than the lease of 3 s, so that the lease expires during some faults. */
const MAX_DURATION_MS = 6000

/** Draws the faults of one run. The kind of one of them follows from the seed alone, so that consecutive seeds cover all kinds. */
export function drawFaultPlan (seed: number, random: RandomSource, sendDurationMs: number): PlannedFault[] {
  const count = MIN_FAULTS + random.drawInteger(MAX_FAULTS - MIN_FAULTS + 1)
  const faults = Array.from({ length: count }, (_, index) => ({
    kind: FAULT_KINDS[index === 0 ? seed % FAULT_KINDS.length : random.drawInteger(FAULT_KINDS.length)] ?? 'kill',
    atMs: 500 + random.drawInteger(sendDurationMs - 500),
    durationMs: MIN_DURATION_MS + random.drawInteger(MAX_DURATION_MS - MIN_DURATION_MS),
    selector: random.drawInteger(1000)
  }))
  return faults.sort((left, right) => left.atMs - right.atMs)
}
