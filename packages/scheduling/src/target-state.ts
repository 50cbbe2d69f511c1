import type { TargetId } from '@hibiscusledge/runtime/identifiers.js'
import { type ResourceVector, addScaledVector, convertCapacity } from './resource-vector.js'
import type { TaskAllocation } from './task-allocation.js'
import { type Target, TARGET_LIFECYCLE_STATES } from './target.js'
import type { TargetReservation } from './target-reservation.js'

/** A pool as its targets see it. */
export interface TargetPool {
  readonly targets: readonly TargetState[]
  /** What any pool's work uses on this pool's targets. */
  occupied: ResourceVector
  /** Grows whenever capacity may have become free. */
  freedCapacityVersion: number
  /** Brings the pool's indexes up to date after a change of a target. */
  refreshTarget (state: TargetState): void
}

/** What the shard knows of one target. Free capacity belongs to the target, so pools that share it can't give it out twice. */
export class TargetState {
  readonly id: TargetId
  /** Order of first appearance; breaks ties so that decisions are repeatable. */
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
  /** Slots in use by work that this shard did not start. */
  foreignSlots = 0
  reservation: TargetReservation | undefined
  /** Pools of the current tables that the target belongs to. */
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

  /** Whether the platform and the owner allow new work here at all; a quarantined target still takes probes. */
  isSchedulable (): boolean {
    return this.isListed && this.target.state === TARGET_LIFECYCLE_STATES.live && this.suspendedUntilMs === undefined && !this.isHung
  }

  isAccepting (): boolean {
    return this.isSchedulable() && !this.isQuarantined
  }

  get freeCores (): number { return this.capacity.cores - this.used.cores }
  get freeMemoryMb (): number { return this.capacity.memoryMb - this.used.memoryMb }
  get freeAccelerators (): number { return this.capacity.accelerators - this.used.accelerators }

  get freeSlots (): number {
    // One request occupies one connection, so a target with fewer connections than slots is bound by them.
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

  addUse (pool: string, amounts: ResourceVector, factor: 1 | -1): void {
    this.used = addScaledVector(this.used, amounts, factor)
    for (const member of this.pools) member.occupied = addScaledVector(member.occupied, amounts, factor)
    if (amounts.slots === 0) return
    const slots = this.getSlotsUsedBy(pool) + amounts.slots * factor
    if (slots === 0) this.#slotsUsedByPool.delete(pool)
    else this.#slotsUsedByPool.set(pool, slots)
  }
}
