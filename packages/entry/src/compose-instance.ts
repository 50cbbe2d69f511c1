import { createDetachedInstance } from './detached-instance.js'
import type { InstanceParts } from './instance-parts.js'
import type { Settings } from './setting-table.js'
import type { Telemetry } from './telemetry.js'

/** Builds the parts of an instance behind the HTTP API: store client, peers, tables, roles and gateway. */
export function composeInstance (_settings: Settings, _telemetry: Telemetry): InstanceParts {
  return createDetachedInstance()
}
