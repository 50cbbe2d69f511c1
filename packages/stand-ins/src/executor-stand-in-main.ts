import { cac } from 'cac'
import { z } from 'zod'
import { ExecutorStandIn } from './executor-stand-in.js'
import { parseFlags, runUntilSignal } from './stand-in-process.js'
import { addTargetFlags, createTargetOptions, targetFlags } from './target-flags.js'
import { TargetStandInGroup } from './target-stand-in-group.js'

const executorFlags = targetFlags.extend({ slots: z.coerce.number().int().min(1), connections: z.coerce.number().int().min(1) })

const command = cac('executor-stand-in')
command.option('--slots <n>', 'Slots of each executor', { default: 8 })
command.option('--connections <n>', 'Connections of each executor; further ones are closed at once', { default: 64 })
addTargetFlags(command, 'executor')

const flags = parseFlags(command, executorFlags)
const labels = { slots: String(flags.slots), connections: String(flags.connections) }
const executors = createTargetOptions(flags, flags.connections, labels).map((options) => new ExecutorStandIn(options, flags.slots))
const host = new TargetStandInGroup(executors, (id) => ({
  runs: executors.flatMap((executor) => id === undefined || executor.id === id ? executor.runs : []),
  progressPolls: Object.fromEntries(executors.map((executor) => [executor.id, executor.progressPolls])),
  refusedConnections: Object.fromEntries(executors.map((executor) => [executor.id, executor.readRefusedConnections()]))
}), flags.host)
const addresses = await host.start(flags.portBase, flags.adminPort)
if (flags.register !== undefined) await host.registerTargets(flags.register)
runUntilSignal(addresses, async () => await host.stop())
