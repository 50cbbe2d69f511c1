import type { CapacityAccounting } from './capacity-accounting.js'
import type { FailureMonitor } from './failure-monitor.js'
import type { KindProfiles } from './kind-profiles.js'
import type { PoolState } from './pool-state.js'
import type { RequestQueue } from './request-queue.js'
import type { ReservationRegistry } from './reservation-registry.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import type { TargetRegistry } from './target-registry.js'

/** State and collaborators of one shard's scheduler that the steps of a scheduling round share. */
export interface SchedulerContext {
  readonly settings: SchedulerSettings
  readonly targets: TargetRegistry
  readonly pools: Map<string, PoolState>
  readonly queue: RequestQueue
  readonly accounting: CapacityAccounting
  readonly reservations: ReservationRegistry
  readonly profiles: KindProfiles
  readonly failures: FailureMonitor
}
