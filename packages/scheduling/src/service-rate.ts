import type { SchedulerSettings } from './scheduler-settings.js'

const WORK_GAIN = 0.05

/**
 * Service rate of one class: starts counted only while the class has a backlog, since an idle class would show its
 * arrival rate. A model rate stands in with the weight of `ratePriorSeconds` until enough is measured.
 */
export class ServiceRate {
  readonly #settings: SchedulerSettings
  #starts = 0
  #backlogSeconds = 0
  #updatedAtMs: number | undefined
  #meanWork: number | undefined

  constructor (settings: SchedulerSettings) {
    this.#settings = settings
  }

  /** Accounts for the time since the last call, in which the class had a backlog or not. */
  advance (nowMs: number, hadBacklog: boolean): void {
    const elapsedMs = this.#updatedAtMs === undefined ? 0 : Math.max(0, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = nowMs
    if (!hadBacklog || elapsedMs === 0) return
    const kept = Math.exp(-elapsedMs / this.#settings.rateWindowMs)
    this.#starts *= kept
    this.#backlogSeconds = this.#backlogSeconds * kept + elapsedMs / 1_000
  }

  recordStart (hadBacklog: boolean): void {
    if (hadBacklog) this.#starts++
  }

  /** Records the work of one finished item: its share of the pool's capacity times its run time in seconds. */
  recordWork (shareSeconds: number): void {
    this.#meanWork = this.#meanWork === undefined ? shareSeconds : this.#meanWork + (shareSeconds - this.#meanWork) * WORK_GAIN
  }

  /** Items per second when the class can use `availableShare` of the pool's capacity. */
  computeRate (availableShare: number, assumedWork: number): number {
    const work = Math.max(this.#meanWork ?? assumedWork, 1e-9)
    const prior = this.#settings.ratePriorSeconds
    return (this.#starts + (availableShare / work) * prior) / (this.#backlogSeconds + prior)
  }
}
