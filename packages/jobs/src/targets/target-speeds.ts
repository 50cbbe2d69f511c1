import type { StepProgress } from '../step-progress.js'

/** Runs of a step that must have ended before its next one tells something about a target. */
const MINIMUM_STEP_RUNS = 2
/** Runs that must have ended on a target before its speed counts. */
const MINIMUM_TARGET_RUNS = 8
/** Weight of a new run once a target has had many, so that an estimate follows a change of speed within some twenty runs. */
const MINIMUM_GAIN = 0.05
/** Bound on the logarithm of a single run's deviation, so that a few runs of unusual length don't decide. */
const MAXIMUM_DEVIATION = 1
/** Below this ratio of slow to fast targets, the differences are within the error of the callers' estimates. */
const UNEVEN_RATIO = 1.75
const SLOW_QUANTILE = 0.9
const FAST_QUANTILE = 0.1
const REFRESH_PERIOD_MS = 500

/** A run that has ended as done. */
export interface FinishedRun {
  readonly targetId: string
  readonly service: string
  /** Step that the run belongs to. Its runs share the error of the caller's estimate. */
  readonly step: StepProgress
  readonly durationMs: number
}

interface SpeedEstimate {
  readonly service: string
  /** Logarithm of the target's run times relative to those of the same steps on other targets. */
  logRatio: number
  runs: number
}

interface StepMean {
  /** Mean logarithm of run time over estimate, without the part that is due to the targets. */
  logBias: number
  runs: number
}

/**
 * Estimates how long runs take on each target, relative to the median target of its service. A run is compared with other runs of
 * its step, so that a wrong estimate of the step doesn't count.
 */
export class TargetSpeeds {
  readonly #targets = new Map<string, SpeedEstimate>()
  readonly #steps = new WeakMap<StepProgress, StepMean>()
  #relativeRunTimes: ReadonlyMap<string, number> = new Map()
  #refreshedAtMs = Number.NEGATIVE_INFINITY

  record ({ targetId, service, step, durationMs }: FinishedRun): void {
    const { estimatedMs } = step.step
    if (estimatedMs <= 0 || durationMs <= 0) return
    const target = this.#ensureTarget(targetId, service)
    const mean = this.#ensureStep(step)
    const logRunTime = Math.log(durationMs / estimatedMs)
    if (mean.runs >= MINIMUM_STEP_RUNS) {
      const deviation = Math.max(-MAXIMUM_DEVIATION, Math.min(MAXIMUM_DEVIATION, logRunTime - mean.logBias))
      target.runs++
      target.logRatio += (deviation - target.logRatio) * Math.max(MINIMUM_GAIN, 1 / target.runs)
    }
    mean.runs++
    mean.logBias += (logRunTime - target.logRatio - mean.logBias) / mean.runs
  }

  /** Drops the estimate of a target that has restarted or is gone. */
  forget (targetId: string): void {
    this.#targets.delete(targetId)
  }

  /**
   * Returns the expected run time on a target relative to the median target of its service. It is 1 for a target without an estimate,
   * and for all targets of a service that are about equally fast.
   */
  readRelativeRunTime (targetId: string, nowMs: number): number {
    if (nowMs - this.#refreshedAtMs >= REFRESH_PERIOD_MS) {
      this.#refreshedAtMs = nowMs
      this.#relativeRunTimes = computeRelativeRunTimes(this.#targets)
    }
    return this.#relativeRunTimes.get(targetId) ?? 1
  }

  #ensureTarget (targetId: string, service: string): SpeedEstimate {
    let target = this.#targets.get(targetId)
    if (target === undefined) {
      target = { service, logRatio: 0, runs: 0 }
      this.#targets.set(targetId, target)
    }
    return target
  }

  #ensureStep (step: StepProgress): StepMean {
    let mean = this.#steps.get(step)
    if (mean === undefined) {
      mean = { logBias: 0, runs: 0 }
      this.#steps.set(step, mean)
    }
    return mean
  }
}

function computeRelativeRunTimes (targets: ReadonlyMap<string, SpeedEstimate>): Map<string, number> {
  const known = [...targets].filter(([, { runs }]) => runs >= MINIMUM_TARGET_RUNS)
  const relative = new Map<string, number>()
  for (const service of new Set(known.map(([, target]) => target.service))) {
    const members = known.filter(([, target]) => target.service === service)
    const logRatios = members.map(([, { logRatio }]) => logRatio).sort((left, right) => left - right)
    if (readQuantile(logRatios, SLOW_QUANTILE) - readQuantile(logRatios, FAST_QUANTILE) < Math.log(UNEVEN_RATIO)) continue
    const median = readQuantile(logRatios, 0.5)
    for (const [id, { logRatio }] of members) relative.set(id, Math.exp(logRatio - median))
  }
  return relative
}

function readQuantile (sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}
