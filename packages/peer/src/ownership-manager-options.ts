import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import type { AuthorityKeeper } from './authority-keeper.js'
import type { MembershipKeeper } from './membership-keeper.js'
import type { PeerNetwork } from './peer-network.js'
import type { PeerTimings } from './peer-timings.js'
import type { PromiseLedger } from './promise-ledger.js'
import type { StoreCache } from './store-cache.js'
import type { ViewMember } from './store-records.js'
import type { ViewKeeper } from './view-keeper.js'

/** What the ownership of units is built from. */
export interface OwnershipManagerOptions {
  readonly store: KeyValueStore
  readonly cache: StoreCache
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly timings: PeerTimings
  readonly network: PeerNetwork
  readonly authority: AuthorityKeeper
  readonly membership: MembershipKeeper
  readonly views: ViewKeeper
  readonly promises: PromiseLedger
  readonly self: ViewMember
  /** Since when this process has held its address; undefined when the address does not prove the end of an earlier process. */
  readonly readListeningSinceMs: () => number | undefined
}
