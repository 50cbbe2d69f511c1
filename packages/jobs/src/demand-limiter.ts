import type { TargetView } from './target-view.js'

/** A round considers waiting work until it demands this multiple of the processor capacity of a service's targets. */
const CONSIDERED_CAPACITY_FACTOR = 2

/**
 * Limits how much waiting work one placement round considers. Work beyond the most urgent steps, which could already fill
 * every target more than once, can't be placed in the same round. Considering a whole backlog would also take processor
 * time from lease renewals and from the handling of the targets' answers.
 */
export class DemandLimiter {
  readonly #limits = new Map<string, number>()
  readonly #demands = new Map<string, number>()

  constructor (targets: readonly TargetView[]) {
    for (const { service, capacity } of targets) {
      this.#limits.set(service, (this.#limits.get(service) ?? 0) + capacity.cpuMillis * CONSIDERED_CAPACITY_FACTOR)
    }
  }

  /** Whether the round has considered enough work of the service. */
  isLimitReached (service: string): boolean {
    return (this.#demands.get(service) ?? 0) >= (this.#limits.get(service) ?? 0)
  }

  /** Adds the demand of work that the round considers. */
  add (service: string, cpuMillis: number): void {
    this.#demands.set(service, (this.#demands.get(service) ?? 0) + cpuMillis)
  }
}
