import { addResources, NO_RESOURCES, subtractResources } from '../capacity-tracker.js'
import type { Resources } from '../job.js'
import type { TargetView } from '../target-view.js'
import { findScarcest, type ResourceName } from './work-amount.js'

/** The capacity that the usable targets of one service offer from now on: what is free, and what runs give back when they end. */
export class CapacitySupply {
  readonly #nowMs: number
  readonly #ends: { readonly atMs: number, readonly size: Resources }[] = []
  #free = NO_RESOURCES
  #capacity = NO_RESOURCES

  constructor (nowMs: number) {
    this.#nowMs = nowMs
  }

  add ({ free, capacity, runs }: TargetView): void {
    this.#free = addResources(this.#free, free)
    this.#capacity = addResources(this.#capacity, capacity)
    for (const { expectedEndMs, size } of runs) if (Number.isFinite(expectedEndMs)) this.#ends.push({ atMs: expectedEndMs, size })
  }

  /** Subtracts capacity that waiting tasks are going to take for good. */
  reserve (size: Resources): void {
    this.#free = subtractResources(this.#free, size)
  }

  /** Returns the resource of which this work takes the largest share of the capacity. */
  findScarcest (work: Resources): ResourceName {
    return findScarcest(work, this.#capacity)
  }

  /** Returns how much of a resource, multiplied by milliseconds, is offered until each of these times, which must be ascending. */
  computeCumulative (name: ResourceName, timesMs: readonly number[]): number[] {
    const ends = this.#ends.toSorted((left, right) => left.atMs - right.atMs)
    let rate = this.#free[name]
    let offered = 0
    let fromMs = this.#nowMs
    let next = 0
    const advanceTo = (toMs: number): void => {
      offered += Math.max(0, rate) * Math.max(0, toMs - fromMs)
      fromMs = Math.max(fromMs, toMs)
    }
    return timesMs.map((timeMs) => {
      for (let end = ends[next]; end !== undefined && end.atMs <= timeMs; end = ends[++next]) {
        advanceTo(end.atMs)
        rate += end.size[name]
      }
      advanceTo(timeMs)
      return offered
    })
  }
}
