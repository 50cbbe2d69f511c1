import type { SchedulerSettings } from './scheduler-settings.js'

const WORK_GAIN = 0.05

/**
 * Service rate of one class. Starts count only while scheduling leaves a backlog behind, since otherwise they would show
 * the arrival rate. A model rate stands in with the weight of `ratePriorSeconds` until enough is measured.
 */
export class ServiceRate {
  readonly #settings: SchedulerSettings
  #starts = 0
  #backlogSeconds = 0
  #isBacklogged = false
  #updatedAtMs: number | undefined
  #meanWork: number | undefined

  constructor (settings: SchedulerSettings) {
    this.#settings = settings
  }

  /** Accounts for the time since the last call. */
  advance (nowMs: number): void {
    const elapsedMs = this.#updatedAtMs === undefined ? 0 : Math.max(0, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = nowMs
    if (!this.#isBacklogged || elapsedMs === 0) return
    const kept = Math.exp(-elapsedMs / this.#settings.rateWindowMs)
    this.#starts *= kept
    this.#backlogSeconds = this.#backlogSeconds * kept + elapsedMs / 1_000
  }

  /** Whether scheduling left work of the class in the queue. */
  setBacklogged (isBacklogged: boolean): void {
    this.#isBacklogged = isBacklogged
  }

  recordStart (): void {
    if (this.#isBacklogged) this.#starts++
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
