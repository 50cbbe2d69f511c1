import { computeReservedResources, countSlots, hasCapacity, mergeMaximum, mergeMinimum, NO_RESOURCES } from './capacity-tracker.js'
import { computeLastingFree } from './targets/expected-capacity.js'
import type { JobStep, Resources } from './job.js'
import type { TargetView } from './target-view.js'
import { WorkMeter } from './turns/work-meter.js'

const ALL_RESOURCES: Resources = {
  cpuMillis: Number.POSITIVE_INFINITY, memoryMb: Number.POSITIVE_INFINITY, accelerators: Number.POSITIVE_INFINITY
}

/** What a target could give to waiting work if it ran only the tasks that last. */
interface Room {
  readonly target: TargetView
  readonly size: Resources
}

interface ServiceRooms {
  readonly rooms: Room[]
  /** The most of each resource in any room. */
  largest: Resources
  /** The least of each resource in any room. */
  smallest: Resources
}

/** Restrictions on where a step's tasks may run, besides the capacity and the label. */
export interface PlacementLimits {
  /** Number of the step's tasks that are already on each target, if the step limits it. */
  readonly countByTarget: ReadonlyMap<string, number>
  /** Targets that the placement policy permits; undefined when that doesn't restrict the step. */
  readonly permittedIds: ReadonlySet<string> | undefined
}

/**
 * Tells which waiting work could be served by the usable targets at all. Work that can't must not count as demand, reserve
 * capacity or take the turn of other work, however long it waits.
 */
export class RoomChecker {
  readonly #services = new Map<string, ServiceRooms>()

  readonly #work: WorkMeter

  /** `work` counts the targets that are visited. */
  constructor (targets: readonly TargetView[], work = new WorkMeter()) {
    this.#work = work
    for (const target of targets) {
      const service = this.#ensureService(target.service)
      const size = computeLastingFree(target)
      service.rooms.push({ target, size })
      service.largest = mergeMaximum(service.largest, size)
      service.smallest = mergeMinimum(service.smallest, size)
    }
  }

  /** Returns how many of a step's pending tasks the targets could hold together: all or none of a gang. */
  countPlaceable (service: string, step: JobStep, pendingCount: number, { countByTarget, permittedIds }: PlacementLimits): number {
    const found = this.#services.get(service)
    if (found === undefined || !hasCapacity(found.largest, computeReservedResources(step.size, step.usesIdleCapacity))) return 0
    const isRestricted = step.requiredLabel !== undefined || step.maximumPerTarget > 0 || permittedIds !== undefined
    // Saves a look at each target in the usual case of targets that are alike.
    if (!isRestricted && found.rooms.length * countSlots(found.smallest, step) >= pendingCount) return pendingCount
    let slots = 0
    for (const { target, size } of found.rooms) {
      this.#work.add(1)
      if (step.requiredLabel !== undefined && !target.labels.includes(step.requiredLabel)) continue
      if (permittedIds?.has(target.id) === false) continue
      const unlimited = countSlots(size, step)
      const limit = step.maximumPerTarget > 0 ? step.maximumPerTarget - (countByTarget.get(target.id) ?? 0) : unlimited
      slots += Math.max(0, Math.min(unlimited, limit))
      if (slots >= pendingCount) return pendingCount
    }
    return step.isGang ? 0 : slots
  }

  #ensureService (name: string): ServiceRooms {
    let service = this.#services.get(name)
    if (service === undefined) {
      service = { rooms: [], largest: NO_RESOURCES, smallest: ALL_RESOURCES }
      this.#services.set(name, service)
    }
    return service
  }
}
