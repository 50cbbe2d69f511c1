import type { TargetId } from '@hibiscusledge/runtime/identifiers.js'
import { type ResourceVector, addScaledVector, convertCapacity } from './resource-vector.js'
import type { TaskAllocation } from './task-allocation.js'
import { type Target, TARGET_LIFECYCLE_STATES } from './target.js'
import type { TargetReservation } from './target-reservation.js'

/** The view of a pool that its targets need. */
export interface TargetPool {
  readonly targets: readonly TargetState[]
  /** Capacity charged to the work of all pools on this pool's targets. */
  occupied: ResourceVector
  /** Grows whenever capacity may have become free. */
  freedCapacityVersion: number
  /** Updates the pool's indexes after a change of a target. */
  refreshTarget (state: TargetState): void
}

/**
 * State of one target in this shard. Free capacity is counted per target rather than per pool, so that pools which share a
 * target can't allocate the same capacity twice.
 */
export class TargetState {
  readonly id: TargetId
  /** Position in the order of first appearance; breaks ties so that decisions are deterministic. */
  readonly ordinal: number
  readonly tasks = new Set<TaskAllocation>()
  readonly #slotsUsedByPool = new Map<string, number>()
  target: Target
  capacity: ResourceVector
  used: ResourceVector = { cores: 0, memoryMb: 0, accelerators: 0, slots: 0 }
  isListed = true
  isHung = false
  isQuarantined = false
  suspendedUntilMs: number | undefined
  /** Executor slots in use by work that this shard did not start. */
  foreignSlots = 0
  reservation: TargetReservation | undefined
  /** Pools of the current configuration that the target belongs to. */
  pools: readonly TargetPool[] = []

  constructor (target: Target, ordinal: number) {
    this.id = target.id
    this.ordinal = ordinal
    this.target = target
    this.capacity = convertCapacity(target.capacity, target.slots)
  }

  setTarget (target: Target): void {
    this.target = target
    this.capacity = convertCapacity(target.capacity, target.slots)
    this.isListed = true
  }

  /** Whether the target may get new work. A quarantined target may get probes only; see `isAccepting`. */
  isSchedulable (): boolean {
    return this.isListed && this.target.state === TARGET_LIFECYCLE_STATES.live && this.suspendedUntilMs === undefined && !this.isHung
  }

  /** Whether the target may get new work other than probes. */
  isAccepting (): boolean {
    return this.isSchedulable() && !this.isQuarantined
  }

  get freeCores (): number { return this.capacity.cores - this.used.cores }
  get freeMemoryMb (): number { return this.capacity.memoryMb - this.used.memoryMb }
  get freeAccelerators (): number { return this.capacity.accelerators - this.used.accelerators }

  get freeSlots (): number {
    // Each request occupies one connection, so a target with fewer connections than slots is limited by its connections.
    const usable = this.target.connections > 0 ? Math.min(this.capacity.slots, this.target.connections) : this.capacity.slots
    return usable - this.used.slots - this.foreignSlots
  }

  getSlotsUsedBy (pool: string): number {
    return this.#slotsUsedByPool.get(pool) ?? 0
  }

  isFittingNow (demand: ResourceVector): boolean {
    return (demand.cores === 0 || demand.cores <= this.freeCores) && (demand.memoryMb === 0 || demand.memoryMb <= this.freeMemoryMb) &&
      (demand.accelerators === 0 || demand.accelerators <= this.freeAccelerators) && (demand.slots === 0 || demand.slots <= this.freeSlots)
  }

  get free (): ResourceVector {
    return { cores: this.freeCores, memoryMb: this.freeMemoryMb, accelerators: this.freeAccelerators, slots: this.freeSlots }
  }

  /** Charges capacity to the work of a pool on this target, or with factor -1 takes the charge back. */
  addUse (pool: string, resources: ResourceVector, factor: 1 | -1): void {
    this.used = addScaledVector(this.used, resources, factor)
    for (const targetPool of this.pools) targetPool.occupied = addScaledVector(targetPool.occupied, resources, factor)
    if (resources.slots === 0) return
    const slots = this.getSlotsUsedBy(pool) + resources.slots * factor
    if (slots === 0) this.#slotsUsedByPool.delete(pool)
    else this.#slotsUsedByPool.set(pool, slots)
  }
}
