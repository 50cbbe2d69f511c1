import type { JobStep, Resources } from '../job.js'
import { RUN_OUTCOMES, type RunOutcome, type TaskRun } from '../task-run.js'
import { RateMeter } from './rate-meter.js'
import { computeScaled, computeStepWork, type ResourceName } from './work-amount.js'

/** Ended runs are averaged over about a lifetime of a long task, which is several of a short one. */
const AVERAGING_MS = 4_000
/** Bounds against a few odd runs: targets a tenth as fast as the estimates assume, and twice as fast. */
const LOWEST_YIELD = 0.1
const HIGHEST_YIELD = 2

/**
 * Measures how much work is finished for the capacity that runs take. Unlike the rate of finished work, the ratio is right while
 * a burst begins after a quiet time, and after a change of the owner, when the first long tasks have yet to end.
 */
export class DrainMeter {
  readonly #finished = new RateMeter(AVERAGING_MS)
  readonly #spent = new RateMeter(AVERAGING_MS)

  /** Counts a run that has ended: what it took, and the work that it finished. */
  recordEnd (service: string, step: JobStep, { size, sentAtMs }: TaskRun, outcome: RunOutcome, nowMs: number): void {
    if (step.isLongRunning || !Number.isFinite(sentAtMs)) return
    this.#finished.advance(nowMs)
    this.#spent.advance(nowMs)
    this.#spent.add(service, 0, computeScaled(size, nowMs - sentAtMs))
    if (outcome === RUN_OUTCOMES.done) this.#finished.add(service, 0, computeStepWork(step, 1))
  }

  /** Returns the rate at which this much capacity finishes work, as measured by the runs that have ended lately. */
  estimateRate (service: string, capacity: Resources, resource: ResourceName): number {
    const spent = this.#spent.readRates(service).get(0)?.[resource] ?? 0
    const finished = this.#finished.readRates(service).get(0)?.[resource] ?? 0
    return capacity[resource] * (spent > 0 ? Math.min(HIGHEST_YIELD, Math.max(LOWEST_YIELD, finished / spent)) : 1)
  }
}
