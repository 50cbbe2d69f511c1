import { addResources, NO_RESOURCES } from '../capacity-tracker.js'
import type { Resources } from '../job.js'
import { computeScaled } from './work-amount.js'

/** Measures the rate of work of each service and priority, as a mean in which recent work weighs most. */
export class RateMeter {
  readonly #averagingMs: number
  readonly #rates = new Map<string, Map<number, Resources>>()
  #updatedAtMs: number | undefined

  constructor (averagingMs: number) {
    this.#averagingMs = averagingMs
  }

  /** Lets the rates decay until now. */
  advance (nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - (this.#updatedAtMs ?? nowMs)) / this.#averagingMs)
    this.#updatedAtMs = nowMs
    for (const rates of this.#rates.values()) for (const [priority, rate] of rates) rates.set(priority, computeScaled(rate, factor))
  }

  /** Adds an amount of work: resources multiplied by milliseconds. */
  add (service: string, priority: number, work: Resources): void {
    const rates = this.#ensureRates(service)
    rates.set(priority, addResources(rates.get(priority) ?? NO_RESOURCES, computeScaled(work, 1 / this.#averagingMs)))
  }

  /** Returns the rates of a service by priority, in resources. */
  readRates (service: string): ReadonlyMap<number, Resources> {
    return this.#ensureRates(service)
  }

  #ensureRates (service: string): Map<number, Resources> {
    let rates = this.#rates.get(service)
    if (rates === undefined) this.#rates.set(service, rates = new Map())
    return rates
  }
}
