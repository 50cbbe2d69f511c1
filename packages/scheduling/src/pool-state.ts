import { addScaledVector, type ResourceVector, computeDominantShare, ZERO_RESOURCE_VECTOR } from './resource-vector.js'
import { ClassQueue } from './class-queue.js'
import { ExecutorIndex } from './executor-index.js'
import { FailedPlacementCache } from './failed-placement-cache.js'
import type { ClassPolicy, PoolPolicy } from './pool-policy.js'
import type { QueuedItem } from './queued-item.js'
import type { Reservation } from './reservation.js'
import type { Resources } from './resources.js'
import { RetryBudget } from './retry-budget.js'
import type { RunningTask } from './running-task.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import { ServiceRate } from './service-rate.js'
import { TARGET_KINDS, type TargetKind } from './target.js'
import type { TargetPool, TargetState } from './target-state.js'
import { URGENCIES, type Urgency } from './urgency.js'
import { CapacityUseTracker } from './capacity-use-tracker.js'
import { WorkerIndex } from './worker-index.js'

/** A target capacity and how many targets of the pool have it. */
export interface TargetShape {
  readonly capacity: ResourceVector
  readonly count: number
}

function createByUrgency<T> (create: () => T): Readonly<Record<Urgency, T>> {
  return { urgent: create(), high: create(), normal: create(), low: create() }
}

/** Queues, capacity and capacity use of one pool in this shard. */
export class PoolState implements TargetPool {
  readonly name: string
  readonly queues: Readonly<Record<Urgency, ClassQueue>> = createByUrgency(() => new ClassQueue())
  readonly rates: Readonly<Record<Urgency, ServiceRate>>
  readonly running: Readonly<Record<Urgency, Set<RunningTask>>> = createByUrgency(() => new Set<RunningTask>())
  readonly retryBudget: RetryBudget
  readonly classUse = new CapacityUseTracker()
  readonly teamUse = new CapacityUseTracker()
  readonly reservations = new Map<string, Reservation>()
  readonly reservedTargets = new Set<TargetState>()
  readonly workers = new WorkerIndex()
  readonly executors = new ExecutorIndex()
  readonly failedPlacements = new FailedPlacementCache()
  #indexedKind: TargetKind | undefined
  /** Undefined while the pool is not in the configuration tables. */
  policy: PoolPolicy | undefined
  targets: readonly TargetState[] = []
  shapes: readonly TargetShape[] = []
  maxTargetCapacity: ResourceVector = ZERO_RESOURCE_VECTOR
  capacity: ResourceVector = ZERO_RESOURCE_VECTOR
  /** Capacity charged to the pool's work, on any target. */
  used: ResourceVector = ZERO_RESOURCE_VECTOR
  /** Capacity charged to the work of all pools on this pool's targets. */
  occupied: ResourceVector = ZERO_RESOURCE_VECTOR
  /** The first blocked item, and since when it has been the first. */
  blockedHead: { readonly queued: QueuedItem, readonly sinceMs: number } | undefined
  /** Grows whenever capacity may have become free, which makes earlier failed placements obsolete. */
  freedCapacityVersion = 0
  lastServedSequence = 0
  /** The `freedCapacityVersion` at which a full pass found that nothing more fits; -1 when none did. */
  exhaustedCapacityVersion = -1
  lastFullPassAtMs = -Infinity
  lastPreemptionAtMs = -Infinity
  /** Classes in which the last full pass reached the limit of failed tries: that of the class, or that of a team with items left to try. */
  partiallyTriedClasses: ReadonlySet<Urgency> = new Set()
  /** Items admitted since the last pass. */
  readonly newlyAdmitted: QueuedItem[] = []

  constructor (name: string, settings: SchedulerSettings) {
    this.name = name
    this.rates = createByUrgency(() => new ServiceRate(settings))
    this.retryBudget = new RetryBudget(settings)
  }

  get isExecutorPool (): boolean {
    return this.policy?.targetKind === TARGET_KINDS.executor
  }

  get queuedCount (): number {
    return this.queues.urgent.size + this.queues.high.size + this.queues.normal.size + this.queues.low.size
  }

  readClassPolicy (urgency: Urgency): ClassPolicy {
    return this.policy?.classes[urgency] ?? { floorPercent: 0, limitPercent: 100, maxQueueMs: 0 }
  }

  /** The quota of a team as a share of the pool's capacity, 0 to 1; 1 for a team without a row. */
  readQuotaShare (team: string): number {
    return (this.policy?.teamQuotas[team] ?? 100) / 100
  }

  /** Share of the pool's capacity that an urgency class may use; Infinity at 100 %, where the targets themselves are the limit. */
  readClassLimit (urgency: Urgency): number {
    const { limitPercent } = this.readClassPolicy(urgency)
    return limitPercent >= 100 ? Infinity : limitPercent / 100
  }

  /** Share of the pool's capacity that a team may use: its quota, or Infinity at 100 %, where the targets are the limit. */
  readTeamQuotaLimit (team: string): number {
    const quota = this.readQuotaShare(team)
    return quota >= 1 ? Infinity : quota
  }

  computeClassShare (urgency: Urgency): number {
    return this.classUse.computeShare(urgency, this.capacity)
  }

  computeTeamShare (team: string): number {
    return this.teamUse.computeShare(team, this.capacity)
  }

  isUnderFloor (urgency: Urgency): boolean {
    return this.computeClassShare(urgency) < this.readClassPolicy(urgency).floorPercent / 100
  }

  /** Share of the pool's capacity that is in use by the work of any pool. */
  computeOccupiedShare (): number {
    return computeDominantShare(this.occupied, this.capacity)
  }

  addUse (urgency: Urgency, team: string, resources: ResourceVector, factor: 1 | -1): void {
    this.used = addScaledVector(this.used, resources, factor)
    this.classUse.add(urgency, resources, factor)
    this.teamUse.add(team, resources, factor)
  }

  /** Replaces the targets that the pool's selectors match. `changed` holds the targets whose instance list entry changed. */
  setTargets (targets: readonly TargetState[], changed: ReadonlySet<TargetState>): void {
    const removed = new Set(this.targets)
    const kind = this.policy?.targetKind
    const unchanged = new Set(kind === this.#indexedKind ? removed : [])
    for (const state of unchanged) if (changed.has(state)) unchanged.delete(state)
    for (const state of targets) if (kind === this.#indexedKind) removed.delete(state)
    for (const state of removed) {
      this.workers.remove(state)
      this.executors.remove(state)
      this.reservedTargets.delete(state)
    }
    this.#indexedKind = kind
    this.targets = targets
    this.capacity = ZERO_RESOURCE_VECTOR
    this.occupied = ZERO_RESOURCE_VECTOR
    this.maxTargetCapacity = ZERO_RESOURCE_VECTOR
    const shapes = new Map<string, { capacity: ResourceVector, count: number }>()
    for (const state of targets) {
      const capacity = this.isExecutorPool
        ? { ...ZERO_RESOURCE_VECTOR, slots: this.#computeUsableSlots(state) }
        : { ...state.capacity, slots: 0 }
      this.capacity = addScaledVector(this.capacity, capacity, 1)
      this.occupied = addScaledVector(this.occupied, state.used, 1)
      this.maxTargetCapacity = {
        cores: Math.max(this.maxTargetCapacity.cores, capacity.cores),
        memoryMb: Math.max(this.maxTargetCapacity.memoryMb, capacity.memoryMb),
        accelerators: Math.max(this.maxTargetCapacity.accelerators, capacity.accelerators),
        slots: Math.max(this.maxTargetCapacity.slots, capacity.slots)
      }
      const key = `${capacity.cores}/${capacity.memoryMb}/${capacity.accelerators}/${capacity.slots}`
      const shape = shapes.get(key)
      if (shape === undefined) shapes.set(key, { capacity, count: 1 })
      else shape.count++
    }
    this.shapes = [...shapes.values()]
    // Workers that did not change keep their index entries; those of executors also depend on the pool's settings.
    for (const state of targets) if (this.isExecutorPool || !unchanged.has(state)) this.refreshTarget(state)
    this.freedCapacityVersion++
  }

  /** Updates the pool's indexes after a change of a target. */
  refreshTarget (state: TargetState): void {
    const isReserved = state.reservation !== undefined
    if (isReserved) this.reservedTargets.add(state)
    else this.reservedTargets.delete(state)
    const isUsable = state.isAccepting() && !isReserved
    if (this.isExecutorPool) {
      this.executors.update(state, isUsable, this.computeFreeSlots(state), this.#computeUsableSlots(state))
    } else {
      this.workers.update(state, isUsable)
    }
  }

  /** Slots of an executor that this pool may still use. */
  computeFreeSlots (state: TargetState): number {
    return Math.min(state.freeSlots, this.#computeUsableSlots(state) - state.getSlotsUsedBy(this.name))
  }

  isFittingNow (state: TargetState, demand: ResourceVector): boolean {
    return state.isFittingNow(demand) && (demand.slots === 0 || this.computeFreeSlots(state) >= demand.slots)
  }

  /** Whether any class has queued work. */
  hasBacklog (): boolean {
    return URGENCIES.some((urgency) => this.queues[urgency].size > 0)
  }

  hasRunningTasks (): boolean {
    return URGENCIES.some((urgency) => this.running[urgency].size > 0)
  }

  get shapeCapacities (): readonly Resources[] {
    return this.shapes.map((shape) => shape.capacity)
  }

  #computeUsableSlots (state: TargetState): number {
    const limits = [state.capacity.slots, this.policy?.slotsPerTarget, this.policy?.connectionsPerTarget,
      state.target.connections > 0 ? state.target.connections : undefined]
    return Math.min(...limits.filter((limit) => limit !== undefined))
  }
}
