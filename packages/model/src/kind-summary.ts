import type { ModelJob } from './job-source.js'
import type { JobKind } from './load-pattern.js'
import type { JobTimes } from './time-recorder.js'

/** A job that is completed within this multiple of its objective is late; later ones are worth nothing. */
const LATE_FACTOR = 3

/** What became of the jobs of one kind. */
export interface KindSummary {
  readonly name: string
  readonly jobs: number
  readonly inTime: number
  readonly late: number
  readonly refused: number
  /** Worth of the completed jobs, and of all if they had been completed in time. */
  readonly earned: number
  readonly owed: number
  /** Time until a job's first task was placed, in milliseconds. */
  readonly waitP50Ms: number
  readonly waitP95Ms: number
}

/** Builds the summary of a kind, whose name gets the suffix. `startMs` is the virtual time at which the load began. */
export function buildKindSummary (
  kind: JobKind, suffix: string, jobs: readonly ModelJob[], times: ReadonlyMap<string, JobTimes>, startMs: number
): KindSummary {
  const own = jobs.filter((job) => job.kind === kind)
  let inTime = 0
  let late = 0
  let refused = 0
  const waitsMs: number[] = []
  for (const { job, arrivesAtMs, objectiveMs } of own) {
    const { placedAtMs = Number.POSITIVE_INFINITY, completedAtMs = Number.POSITIVE_INFINITY, isAccepted = false } = times.get(job.id) ?? {}
    const passedMs = completedAtMs - startMs - arrivesAtMs
    if (passedMs <= objectiveMs) inTime++
    else if (passedMs <= objectiveMs * LATE_FACTOR) late++
    if (!isAccepted) refused++
    waitsMs.push(placedAtMs - startMs - arrivesAtMs)
  }
  waitsMs.sort((left, right) => left - right)
  return {
    name: `${kind.name}${suffix}`,
    jobs: own.length,
    inTime,
    late,
    refused,
    earned: inTime * kind.worth + late * kind.lateWorth,
    owed: own.length * kind.worth,
    waitP50Ms: readQuantile(waitsMs, 0.5),
    waitP95Ms: readQuantile(waitsMs, 0.95)
  }
}

function readQuantile (sorted: readonly number[], quantile: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0
}
