import { build, type Histogram } from 'hdr-histogram-js'
import { URGENCIES, type Urgency } from '../urgency.js'

const MICROSECONDS_PER_MS = 1_000
const HIGHEST_WAIT_MICROSECONDS = 600_000_000

/** Results of one urgency class in one run. Waits, rejections and expiries cover ordinary and flood items together. */
export interface ClassReport {
  readonly waits: Histogram
  ordinaryOffered: number
  ordinaryCompleted: number
  floodOffered: number
  floodCompleted: number
  rejected: number
  expired: number
  /** Capacity used by the class, as share of the pool's capacity times milliseconds. */
  usedShareMs: number
}

export type ClassReports = Readonly<Record<Urgency, ClassReport>>

function createReport (): ClassReport {
  return {
    waits: build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_WAIT_MICROSECONDS, numberOfSignificantValueDigits: 3 }),
    ordinaryOffered: 0,
    ordinaryCompleted: 0,
    floodOffered: 0,
    floodCompleted: 0,
    rejected: 0,
    expired: 0,
    usedShareMs: 0
  }
}

export function createReports (): ClassReports {
  return { urgent: createReport(), high: createReport(), normal: createReport(), low: createReport() }
}

export function recordWait (report: ClassReport, waitMs: number): void {
  report.waits.recordValue(Math.max(0, Math.min(HIGHEST_WAIT_MICROSECONDS, Math.round(waitMs * MICROSECONDS_PER_MS))))
}

/** Returns a percentile of the class's waits in milliseconds, or undefined when nothing started. */
export function computeWaitPercentileMs (report: ClassReport, percentile: number): number | undefined {
  return report.waits.totalCount === 0 ? undefined : report.waits.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
}

/** Returns for each class the ordinary completions as a fraction of those in the run without a flood. */
export function computeRetainedShares (flooded: ClassReports, unflooded: ClassReports): Record<Urgency, number> {
  const shares = { urgent: 1, high: 1, normal: 1, low: 1 }
  for (const urgency of URGENCIES) shares[urgency] = flooded[urgency].ordinaryCompleted / Math.max(1, unflooded[urgency].ordinaryCompleted)
  return shares
}
