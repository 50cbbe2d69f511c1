import { computeElementwiseMax, computeElementwiseMin } from './resource-vector.js'
import { isFitting, type Resources } from './resources.js'
import type { SchedulerSettings } from './scheduler-settings.js'

interface KindProfile {
  size: { cores: number, memoryMb: number, accelerators: number }
  sizeSamples: number
  runtimeMs: number
  runtimeSamples: number
}

// The ratio of the two gains makes the estimate settle well above the mean usage without following a single outlier.
const SIZE_GAIN_UP = 0.3
const SIZE_GAIN_DOWN = 0.02
const RUNTIME_GAIN = 0.1
// Bounds memory. Kinds come from the routes table, so only a faulty caller of the scheduler can reach this limit.
const MAX_KINDS = 10_000

function updateEstimate (current: number, observed: number): number {
  return current + (observed - current) * (observed > current ? SIZE_GAIN_UP : SIZE_GAIN_DOWN)
}

function compareSizes (left: Resources, right: Resources): number {
  return left.cores - right.cores || left.memoryMb - right.memoryMb || left.accelerators - right.accelerators
}

/** Task sizes and run times learned from reports, by kind of work. */
export class KindProfiles {
  readonly #settings: SchedulerSettings
  readonly #profiles = new Map<string, KindProfile>()

  constructor (settings: SchedulerSettings) {
    this.#settings = settings
  }

  recordUsage (kind: string, usage: Resources): void {
    const profile = this.#ensure(kind)
    if (profile === undefined) return
    if (profile.sizeSamples === 0) profile.size = { ...usage }
    else {
      profile.size = {
        cores: updateEstimate(profile.size.cores, usage.cores),
        memoryMb: updateEstimate(profile.size.memoryMb, usage.memoryMb),
        accelerators: updateEstimate(profile.size.accelerators, usage.accelerators)
      }
    }
    profile.sizeSamples++
  }

  recordRuntime (kind: string, runtimeMs: number): void {
    const profile = this.#ensure(kind)
    if (profile === undefined) return
    profile.runtimeMs = profile.runtimeSamples === 0 ? runtimeMs : profile.runtimeMs + (runtimeMs - profile.runtimeMs) * RUNTIME_GAIN
    profile.runtimeSamples++
  }

  /**
   * Returns the size with which to place a task: in each dimension the larger of the declared and the learned one, limited to
   * the size of the shape that leaves the largest result, among the `shapes` that hold the declared size.
   */
  estimateSize (kind: string, declared: Resources, shapes: readonly Resources[]): Resources {
    const profile = this.#profiles.get(kind)
    if (profile === undefined || profile.sizeSamples < this.#settings.sizeMinSamples) return declared
    const headroom = this.#settings.sizeHeadroom
    // Accelerators are allocated as whole devices, so headroom doesn't apply to them.
    const learned = {
      cores: profile.size.cores * headroom,
      memoryMb: profile.size.memoryMb * headroom,
      accelerators: Math.round(profile.size.accelerators)
    }
    const wanted = computeElementwiseMax(declared, learned)
    let best: Resources | undefined
    for (const shape of shapes) {
      if (!isFitting(declared, shape)) continue
      const clipped = computeElementwiseMin(wanted, shape)
      if (best === undefined || compareSizes(clipped, best) > 0) best = clipped
    }
    return best ?? declared
  }

  /** Returns the learned run time, otherwise the declared one; undefined when neither is known. */
  estimateRuntimeMs (kind: string, declaredMs: number | undefined): number | undefined {
    const profile = this.#profiles.get(kind)
    if (profile !== undefined && profile.runtimeSamples >= this.#settings.sizeMinSamples) return profile.runtimeMs
    return declaredMs
  }

  #ensure (kind: string): KindProfile | undefined {
    let profile = this.#profiles.get(kind)
    if (profile === undefined && this.#profiles.size < MAX_KINDS) {
      profile = { size: { cores: 0, memoryMb: 0, accelerators: 0 }, sizeSamples: 0, runtimeMs: 0, runtimeSamples: 0 }
      this.#profiles.set(kind, profile)
    }
    return profile
  }
}
