import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import { cac } from 'cac'
import { z } from 'zod'
import { parseFlags, runUntilSignal } from './stand-in-process.js'
import { addTargetFlags, createTargetOptions, targetFlags, usageFactorsByKind } from './target-flags.js'
import { TargetStandInGroup } from './target-stand-in-group.js'
import { TaskLog } from './task-log.js'
import { WorkerStandIn } from './worker-stand-in.js'

const workerFlags = targetFlags.extend({
  cores: z.coerce.number().int().min(1),
  memoryMb: z.coerce.number().int().min(1),
  accelerators: z.coerce.number().int().min(0),
  usageLagMs: z.coerce.number().int().min(0),
  usageFactor: usageFactorsByKind
})

const command = cac('worker-stand-in')
command.option('--cores <n>', 'Cores of each worker', { default: 16 })
command.option('--memory-mb <n>', 'Memory of each worker', { default: 65_536 })
command.option('--accelerators <n>', 'Accelerators of each worker', { default: 0 })
command.option('--usage-lag-ms <ms>', 'Lag of reported usage', { default: 1000 })
command.option('--usage-factor <kind=factor>', 'Part of the declared resources that a kind uses; repeatable', { default: [] })
addTargetFlags(command, 'worker')

const flags = parseFlags(command, workerFlags)
const { cores, memoryMb, accelerators, usageLagMs } = flags
const labels = { cores: String(cores), memory_mb: String(memoryMb), accelerators: String(accelerators) }
const taskLog = new TaskLog(new SystemClock())
const workers = createTargetOptions(flags, 0, labels).map((options) => new WorkerStandIn({
  ...options, capacity: { cores, memoryMb, accelerators }, taskLog, usageLagMs, usageFactors: flags.usageFactor
}))
const host = new TargetStandInGroup(workers, (id) => ({
  uses: taskLog.records.filter(({ worker }) => id === undefined || worker === id),
  violations: taskLog.violations.filter(({ worker }) => id === undefined || worker === id)
}), flags.host)
const addresses = await host.start(flags.portBase, flags.adminPort)
if (flags.register !== undefined) await host.registerTargets(flags.register)
runUntilSignal(addresses, async () => await host.stop())
