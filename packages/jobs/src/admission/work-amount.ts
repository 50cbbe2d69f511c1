import { addResources, computeReservedResources, NO_RESOURCES } from '../capacity-tracker.js'
import type { JobStep, Resources } from '../job.js'

/** Resources by which work and capacity are compared. */
export const RESOURCE_NAMES = ['cpuMillis', 'memoryMb', 'accelerators'] as const
export type ResourceName = typeof RESOURCE_NAMES[number]

/**
 * Share of the offered capacity that waiting work can use. The rest is lost between tasks that don't fill a target, in gangs that
 * wait for their last target, and between the end of a run and the next start.
 */
export const PACKING_FACTOR = 0.85

export function computeScaled ({ cpuMillis, memoryMb, accelerators }: Resources, factor: number): Resources {
  return { cpuMillis: cpuMillis * factor, memoryMb: memoryMb * factor, accelerators: accelerators * factor }
}

/** Returns the work of some tasks of a step by its estimate: resources multiplied by milliseconds. */
export function computeStepWork ({ size, usesIdleCapacity, estimatedMs }: JobStep, taskCount: number): Resources {
  return computeScaled(computeReservedResources(size, usesIdleCapacity), taskCount * estimatedMs)
}

/** Returns the work of all tasks of some steps. */
export function computeTotalWork (steps: readonly JobStep[]): Resources {
  return steps.reduce((sum, step) => addResources(sum, computeStepWork(step, step.taskCount)), NO_RESOURCES)
}

/** Returns the resource of which this work takes the largest share of a capacity. */
export function findScarcest (work: Resources, capacity: Resources): ResourceName {
  const computeShare = (name: ResourceName): number => work[name] === 0 ? 0 : work[name] / Math.max(1, capacity[name])
  return RESOURCE_NAMES.reduce((best, name) => computeShare(name) > computeShare(best) ? name : best, 'cpuMillis' as ResourceName)
}
