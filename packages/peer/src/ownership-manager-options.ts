import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import type { AuthorityTracker } from './authority-tracker.js'
import type { MembershipManager } from './membership-manager.js'
import type { PeerNetwork } from './peer-network.js'
import type { PeerTimings } from './peer-timings.js'
import type { PromiseGranter } from './promise-granter.js'
import type { StoreCache } from './store-cache.js'
import type { ViewMember } from './store-records.js'
import type { ViewManager } from './view-manager.js'

/** Dependencies of the ownership of units. */
export interface OwnershipManagerOptions {
  readonly store: KeyValueStore
  readonly cache: StoreCache
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly timings: PeerTimings
  readonly network: PeerNetwork
  readonly authority: AuthorityTracker
  readonly membershipManager: MembershipManager
  readonly views: ViewManager
  readonly promises: PromiseGranter
  readonly self: ViewMember
  /** Returns since when this process listens at its address; undefined if the address does not prove that an earlier process ended. */
  readonly readListeningSinceMs: () => number | undefined
}
