import type { Resources } from '@hibiscusledge/scheduling/resources.js'
import type { Urgency } from '@hibiscusledge/scheduling/urgency.js'

/** One row of the routes table. */
export interface Route {
  readonly kind: string
  /** Empty matches every customer; a row with the customer goes before one without. */
  readonly customer: string
  /** Empty matches every team. */
  readonly team: string
  readonly pool: string
  readonly urgency: Urgency
  /** Declared size of one task. */
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
