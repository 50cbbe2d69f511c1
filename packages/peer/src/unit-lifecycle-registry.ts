import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { UnitLifecycle } from './unit-lifecycle.js'

/** What the steps of reconciliation need of the manager. */
export interface UnitLifecycleRegistry {
  ensureLifecycle (unit: UnitId): UnitLifecycle
  restartUnit (lifecycle: UnitLifecycle): void
}
