import type { CapacityLedger } from './capacity-ledger.js'
import type { FailureMonitor } from './failure-monitor.js'
import type { KindProfiles } from './kind-profiles.js'
import type { PoolState } from './pool-state.js'
import type { RequestQueue } from './request-queue.js'
import type { ReservationBook } from './reservation-book.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import type { TargetTable } from './target-table.js'

/** The parts of one shard's scheduling core that its steps share. */
export interface SchedulerContext {
  readonly settings: SchedulerSettings
  readonly targets: TargetTable
  readonly pools: Map<string, PoolState>
  readonly queue: RequestQueue
  readonly ledger: CapacityLedger
  readonly reservations: ReservationBook
  readonly profiles: KindProfiles
  readonly failures: FailureMonitor
}
