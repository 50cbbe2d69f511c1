import { SystemClock } from '@hibiscusledge/runtime/system-clock.js'
import { cac } from 'cac'
import { z } from 'zod'
import { parseFlags, runUntilSignal } from './stand-in-process.js'
import { StoreStandIn } from './store-stand-in.js'

const flags = z.object({
  port: z.coerce.number().int().min(0).max(65_535),
  adminPort: z.coerce.number().int().min(0).max(65_535),
  host: z.string(),
  progressMs: z.coerce.number().int().min(1)
})

const command = cac('store-stand-in')
command.option('--port <port>', 'Port of the etcd v3 JSON gateway; 0 takes a free one', { default: 0 })
command.option('--admin-port <port>', 'Port of the instance list and of the admin interface', { default: 0 })
command.option('--host <ip>', 'Address to listen on', { default: '127.0.0.1' })
command.option('--progress-ms <ms>', 'Period of progress messages of a watch', { default: 1000 })
command.help()

const { port, adminPort, host, progressMs } = parseFlags(command, flags)
const standIn = new StoreStandIn({ clock: new SystemClock(), host, progressMs })
runUntilSignal(await standIn.start(port, adminPort), async () => await standIn.stop())
