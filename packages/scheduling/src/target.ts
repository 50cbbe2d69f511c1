import type { FailureDomain, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { Resources } from './resources.js'

export const TARGET_KINDS = { executor: 'executor', worker: 'worker' } as const
export type TargetKind = typeof TARGET_KINDS[keyof typeof TARGET_KINDS]

export const TARGET_LIFECYCLE_STATES = { live: 'live', leaving: 'leaving' } as const
export type TargetLifecycleState = typeof TARGET_LIFECYCLE_STATES[keyof typeof TARGET_LIFECYCLE_STATES]

/** A worker or an executor as the platform's instance list describes it. */
export interface Target {
  readonly id: TargetId
  readonly kind: TargetKind
  /** `host:port` of the target's HTTP interface. */
  readonly address: string
  readonly state: TargetLifecycleState
  readonly failureDomain: FailureDomain
  readonly rack: string
  readonly labels: Readonly<Record<string, string>>
  /** A worker's size; zero in all dimensions for an executor. */
  readonly capacity: Resources
  /** How many requests an executor runs at once; 0 for a worker. */
  readonly slots: number
  /** How many connections the target accepts. */
  readonly connections: number
}
