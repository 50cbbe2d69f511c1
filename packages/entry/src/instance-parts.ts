import type { RequestGateway } from '@hibiscusledge/dispatch/request-gateway.js'
import type { TableDirectory } from '@hibiscusledge/tables/table-directory.js'
import type { Drainable } from './drainable.js'
import type { StatusSource } from './status-source.js'
import type { TableEditor } from './table-editor.js'

/** The part of an instance behind the HTTP API. */
export interface InstanceParts {
  readonly gateway: RequestGateway
  readonly tables: TableDirectory
  readonly tableEditor: TableEditor
  readonly status: StatusSource
  readonly drainable: Drainable
  /** Starts links, polls and roles. Must not wait for the store, which may be down. */
  start (): Promise<void>
}
