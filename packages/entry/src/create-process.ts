import { ApiServer } from './api-server.js'
import type { ExitCode } from './exit-codes.js'
import { HibiscusledgeProcess } from './hibiscusledge-process.js'
import { InstanceLifeCycle } from './instance-life-cycle.js'
import type { InstanceComponents } from './instance-components.js'
import { PendingCallers } from './pending-callers.js'
import type { Settings } from './setting-table.js'
import type { Telemetry } from './telemetry.js'

/** Builds the process around the components of an instance: HTTP API, life cycle and termination. */
export function createProcess (
  settings: Settings, telemetry: Telemetry, instance: InstanceComponents, exit: (code: ExitCode) => void
): HibiscusledgeProcess {
  const { clock, logger, metrics, spans } = telemetry
  const { gateway, tables, tableEditor, status, drainer } = instance
  const lifeCycle = new InstanceLifeCycle(logger)
  const pendingCallers = new PendingCallers()
  const api = new ApiServer({
    settings, gateway, tables, tableEditor, status, lifeCycle, pendingCallers, clock, logger, metrics, spans
  })
  return new HibiscusledgeProcess({
    settings,
    lifeCycle,
    pendingCallers,
    api,
    startInstance: () => instance.start(),
    gateway,
    tables,
    drainer,
    clock,
    logger,
    closeTelemetry: () => telemetry.close(),
    exit
  })
}
