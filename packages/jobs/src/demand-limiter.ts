import type { TargetView } from './target-view.js'

/** Waiting work is looked at until it asks for this multiple of a service's processors. */
const CONSIDERED_CAPACITY_FACTOR = 2

/**
 * Limits how much waiting work one round looks at. In a flood, what comes after the most urgent work that could fill every
 * target more than once can't be placed in the same round, and looking at all of it would take the processor from the
 * renewal of the lease and from answers of targets.
 */
export class DemandLimiter {
  readonly #limits = new Map<string, number>()
  readonly #demands = new Map<string, number>()

  constructor (targets: readonly TargetView[]) {
    for (const { service, capacity } of targets) {
      this.#limits.set(service, (this.#limits.get(service) ?? 0) + capacity.cpuMillis * CONSIDERED_CAPACITY_FACTOR)
    }
  }

  /** Whether enough work of the service has been looked at in this round. */
  isLimitReached (service: string): boolean {
    return (this.#demands.get(service) ?? 0) >= (this.#limits.get(service) ?? 0)
  }

  add (service: string, cpuMillis: number): void {
    this.#demands.set(service, (this.#demands.get(service) ?? 0) + cpuMillis)
  }
}
