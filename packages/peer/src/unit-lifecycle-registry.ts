import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { UnitLifecycle } from './unit-lifecycle.js'

/** Access to the unit lifecycles of the ownership manager, for reconciliation and hand-overs. */
export interface UnitLifecycleRegistry {
  ensureLifecycle (unit: UnitId): UnitLifecycle
  /** Returns the unit to `starting` after a failed hand-over and serves it again under its current owner record. */
  resumeUnit (lifecycle: UnitLifecycle): void
}
