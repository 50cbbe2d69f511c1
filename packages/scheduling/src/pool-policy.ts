import type { FailureDomain } from '@hibiscusledge/runtime/identifiers.js'
import type { Target, TargetKind } from './target.js'
import type { Urgency } from './urgency.js'

/** Limits of one urgency class of a pool. */
export interface ClassPolicy {
  /** Share of the pool's capacity that the class is guaranteed however much work other classes offer, in percent. */
  readonly floorPercent: number
  /** Largest share of the pool's capacity that the class may use, in percent. */
  readonly limitPercent: number
  /** Longest estimated wait with which an item is admitted, in milliseconds. */
  readonly maxQueueMs: number
}

/** One row of the pools table. Empty selectors match every target of the kind. */
export interface PoolPolicy {
  readonly name: string
  readonly targetKind: TargetKind
  readonly failureDomains: readonly FailureDomain[]
  readonly racks: readonly string[]
  readonly labels: Readonly<Record<string, string>>
  /** Limit on the slots used on each executor; undefined when only the instance list limits them. */
  readonly slotsPerTarget: number | undefined
  readonly connectionsPerTarget: number | undefined
  readonly classes: Readonly<Record<Urgency, ClassPolicy>>
  /** Largest share of the pool's capacity that a team may use, in percent; 100 for a team without a row. */
  readonly teamQuotas: Readonly<Record<string, number>>
}

/** Whether the pool's selectors match the target. */
export function isTargetInPool (target: Target, pool: PoolPolicy): boolean {
  if (target.kind !== pool.targetKind) return false
  if (pool.failureDomains.length > 0 && !pool.failureDomains.includes(target.failureDomain)) return false
  if (pool.racks.length > 0 && !pool.racks.includes(target.rack)) return false
  return Object.entries(pool.labels).every(([name, value]) => target.labels[name] === value)
}
