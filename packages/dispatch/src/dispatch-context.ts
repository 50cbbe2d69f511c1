import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import type { LoadDirectory } from '@hibiscusledge/peer/load-directory.js'
import type { OwnershipDirectory } from '@hibiscusledge/peer/ownership-directory.js'
import type { PeerNetwork } from '@hibiscusledge/peer/peer-network.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { SpanRecorder } from '@hibiscusledge/runtime/span-recorder.js'
import type { CurrentTables } from '@hibiscusledge/tables/current-tables.js'

/** Dependencies that the roles and the request gateway of an instance share. */
export interface DispatchContext {
  readonly store: KeyValueStore
  readonly network: PeerNetwork
  readonly ownership: OwnershipDirectory
  readonly loads: LoadDirectory
  readonly tables: CurrentTables
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly spans: SpanRecorder
  /** How long recorded outcomes can be looked up. */
  readonly outcomeRetentionMs: number
}
