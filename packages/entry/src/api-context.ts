import type { RequestGateway } from '@hibiscusledge/dispatch/request-gateway.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { SpanRecorder } from '@hibiscusledge/runtime/span-recorder.js'
import type { CurrentTables } from '@hibiscusledge/tables/current-tables.js'
import type { InstanceLifeCycle } from './instance-life-cycle.js'
import type { PendingCallers } from './pending-callers.js'
import type { Settings } from './setting-table.js'
import type { StatusSource } from './status-source.js'
import type { TableEditor } from './table-editor.js'

export type ApiSettings = Pick<Settings, 'instanceId' | 'failureDomain' | 'apiHost' | 'apiPort' | 'maxBodyBytes' | 'defaultWaitMs'>

/** Dependencies of the HTTP API. */
export interface ApiContext {
  readonly settings: ApiSettings
  readonly gateway: RequestGateway
  readonly tables: CurrentTables
  readonly tableEditor: TableEditor
  readonly status: StatusSource
  readonly lifeCycle: InstanceLifeCycle
  readonly pendingCallers: PendingCallers
  readonly clock: Clock
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly spans: SpanRecorder
}
