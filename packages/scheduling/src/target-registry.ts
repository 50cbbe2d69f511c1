import type { TargetId } from '@hibiscusledge/runtime/identifiers.js'
import { isTargetInPool } from './pool-policy.js'
import type { PoolState } from './pool-state.js'
import { type Target, TARGET_LIFECYCLE_STATES } from './target.js'
import { TargetState } from './target-state.js'

function isSameTarget (left: Target, right: Target): boolean {
  if (left === right) return true
  const labelNames = Object.keys(left.labels)
  return left.kind === right.kind && left.address === right.address && left.state === right.state &&
    left.failureDomain === right.failureDomain && left.rack === right.rack && left.slots === right.slots &&
    left.connections === right.connections && left.capacity.cores === right.capacity.cores &&
    left.capacity.memoryMb === right.capacity.memoryMb && left.capacity.accelerators === right.capacity.accelerators &&
    labelNames.length === Object.keys(right.labels).length && labelNames.every((name) => left.labels[name] === right.labels[name])
}

/** The targets of the shard and the pools that each belongs to. */
export class TargetRegistry {
  readonly #states = new Map<TargetId, TargetState>()
  #nextOrdinal = 0

  get (id: TargetId): TargetState | undefined {
    return this.#states.get(id)
  }

  /**
   * Returns the state of a target and creates it if it doesn't exist, since a start of an earlier owner may name a target that
   * is no longer listed.
   */
  ensure (id: TargetId, build: () => Target): TargetState {
    let state = this.#states.get(id)
    if (state === undefined) {
      state = new TargetState(build(), this.#nextOrdinal++)
      state.isListed = false
      this.#states.set(id, state)
    }
    return state
  }

  /** Applies the instance list and returns the targets that changed. A missing target is removed once nothing runs on it. */
  apply (targets: readonly Target[], nowMs: number): ReadonlySet<TargetState> {
    const listed = new Set<TargetId>()
    const changed = new Set<TargetState>()
    for (const target of targets) {
      listed.add(target.id)
      const state = this.ensure(target.id, () => target)
      if (!state.isListed || !isSameTarget(state.target, target)) {
        state.setTarget(target)
        changed.add(state)
      }
      if (state.suspendedUntilMs !== undefined && nowMs >= state.suspendedUntilMs && target.state === TARGET_LIFECYCLE_STATES.live) {
        state.suspendedUntilMs = undefined
        changed.add(state)
      }
    }
    for (const [id, state] of this.#states) {
      if (listed.has(id)) continue
      if (state.isListed) changed.add(state)
      state.isListed = false
      if (state.tasks.size === 0) this.#states.delete(id)
    }
    return changed
  }

  /** Assigns the listed live targets to the pools whose selectors match them. */
  assignPools (pools: Iterable<PoolState>, changed: ReadonlySet<TargetState>): void {
    const poolsByTarget = new Map<TargetState, PoolState[]>()
    for (const pool of pools) {
      const { policy } = pool
      const members: TargetState[] = []
      if (policy !== undefined) {
        for (const state of this.#states.values()) {
          if (!state.isListed || state.target.state !== TARGET_LIFECYCLE_STATES.live || !isTargetInPool(state.target, policy)) continue
          members.push(state)
          const statePools = poolsByTarget.get(state)
          if (statePools === undefined) poolsByTarget.set(state, [pool])
          else statePools.push(pool)
        }
      }
      pool.setTargets(members, changed)
    }
    for (const state of this.#states.values()) state.pools = poolsByTarget.get(state) ?? []
  }

  /** Updates the indexes of the target's pools after it changed, and their version if capacity may have become free. */
  refresh (state: TargetState, isCapacityFreed: boolean): void {
    for (const pool of state.pools) {
      pool.refreshTarget(state)
      if (isCapacityFreed) pool.freedCapacityVersion++
    }
  }
}
