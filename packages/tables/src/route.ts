import type { WorkShape } from '@hibiscusledge/scheduling/work-shape.js'

/** A row of the routes table. */
export interface Route extends WorkShape {
  readonly kind: string
  /** Empty matches every customer. A row that names the customer takes precedence over one that does not. */
  readonly customer: string
  /** Empty matches every team. */
  readonly team: string
  readonly deadlineMs: number
  readonly retryLimit: number
}
