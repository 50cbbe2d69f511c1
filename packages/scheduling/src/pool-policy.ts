import type { FailureDomain } from '@hibiscusledge/runtime/identifiers.js'
import type { Target, TargetKind } from './target.js'
import type { Urgency } from './urgency.js'

/** What the scheduler applies to one urgency class of a pool. */
export interface ClassPolicy {
  /** Share of the pool's capacity that the class keeps in any flood, in percent. */
  readonly floorPercent: number
  /** Share of the pool's capacity that the class never exceeds, in percent. */
  readonly limitPercent: number
  /** Longest estimated wait that admission accepts. */
  readonly maxQueueMs: number
}

/** One row of the pools table. Empty selectors match every target of the kind. */
export interface PoolPolicy {
  readonly name: string
  readonly targetKind: TargetKind
  readonly failureDomains: readonly FailureDomain[]
  readonly racks: readonly string[]
  readonly labels: Readonly<Record<string, string>>
  /** Limits the slots used on each executor; undefined takes what the instance list says. */
  readonly slotsPerTarget: number | undefined
  readonly connectionsPerTarget: number | undefined
  readonly classes: Readonly<Record<Urgency, ClassPolicy>>
  /** Greatest share of the pool's capacity that a team may use, in percent. A team without a row has 100. */
  readonly teamQuotas: Readonly<Record<string, number>>
}

/** Whether `target` belongs to `pool`. */
export function isTargetInPool (target: Target, pool: PoolPolicy): boolean {
  if (target.kind !== pool.targetKind) return false
  if (pool.failureDomains.length > 0 && !pool.failureDomains.includes(target.failureDomain)) return false
  if (pool.racks.length > 0 && !pool.racks.includes(target.rack)) return false
  return Object.entries(pool.labels).every(([name, value]) => target.labels[name] === value)
}
