import type { RequestGateway } from '@hibiscusledge/dispatch/request-gateway.js'
import type { CurrentTables } from '@hibiscusledge/tables/current-tables.js'
import type { Drainer } from './drainer.js'
import type { StatusSource } from './status-source.js'
import type { TableEditor } from './table-editor.js'

/** Components of an instance behind the HTTP API. */
export interface InstanceComponents {
  readonly gateway: RequestGateway
  readonly tables: CurrentTables
  readonly tableEditor: TableEditor
  readonly status: StatusSource
  readonly drainer: Drainer
  /** Starts links, polling and roles. Must not wait for the store, which may be unreachable. */
  start (): Promise<void>
}
