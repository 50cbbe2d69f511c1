import type { FailureDomain, TargetId } from '@hibiscusledge/runtime/identifiers.js'
import type { Resources } from './resources.js'

export const TARGET_KINDS = { executor: 'executor', worker: 'worker' } as const
export type TargetKind = typeof TARGET_KINDS[keyof typeof TARGET_KINDS]

export const TARGET_LIFECYCLE_STATES = { live: 'live', leaving: 'leaving' } as const
export type TargetLifecycleState = typeof TARGET_LIFECYCLE_STATES[keyof typeof TARGET_LIFECYCLE_STATES]

/** A worker or an executor as described by the platform's instance list. */
export interface Target {
  readonly id: TargetId
  readonly kind: TargetKind
  /** `host:port` of the target's HTTP interface. */
  readonly address: string
  readonly state: TargetLifecycleState
  readonly failureDomain: FailureDomain
  readonly rack: string
  readonly labels: Readonly<Record<string, string>>
  /** Capacity of a worker; zero in all dimensions for an executor. */
  readonly capacity: Resources
  /** Number of requests that an executor runs at the same time; 0 for a worker. */
  readonly slots: number
  /** Number of connections that the target accepts. */
  readonly connections: number
}
