import type { Resources } from '@hibiscusledge/scheduling/resources.js'
import type { Urgency } from '@hibiscusledge/scheduling/urgency.js'

/** A row of the routes table. */
export interface Route {
  readonly kind: string
  /** Empty matches every customer. A row that names the customer takes precedence over one that does not. */
  readonly customer: string
  /** Empty matches every team. */
  readonly team: string
  readonly pool: string
  readonly urgency: Urgency
  /** Declared resources of one task. */
  readonly resources: Resources
  readonly taskCount: number
  readonly isIdempotent: boolean
  readonly isExclusive: boolean
  readonly isResumable: boolean
  readonly isService: boolean
  readonly runtimeMs: number | undefined
  readonly deadlineMs: number
  readonly retryLimit: number
}
