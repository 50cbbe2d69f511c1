import type { RequestGateway } from '@hibiscusledge/dispatch/request-gateway.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { CurrentTables } from '@hibiscusledge/tables/current-tables.js'
import type { Drainer } from './drainer.js'
import type { ExitCode } from './exit-codes.js'
import type { InstanceLifeCycle } from './instance-life-cycle.js'
import type { PendingCallers } from './pending-callers.js'
import type { Settings } from './setting-table.js'

/** Component that is started once and stopped once. */
export interface Startable {
  start (): Promise<unknown>
  stop (): Promise<void>
}

/** Components that the process starts, drains and stops. */
export interface ProcessOptions {
  readonly settings: Pick<Settings, 'drainGraceMs' | 'drainTimeoutMs'>
  readonly lifeCycle: InstanceLifeCycle
  readonly pendingCallers: PendingCallers
  readonly api: Startable
  /** Starts the components behind the HTTP API. */
  readonly startInstance: () => Promise<void>
  readonly gateway: Pick<RequestGateway, 'countPending'>
  readonly tables: CurrentTables
  readonly drainer: Drainer
  readonly clock: Clock
  readonly logger: EventLogger
  readonly closeTelemetry: () => Promise<void>
  readonly exit: (code: ExitCode) => void
}
