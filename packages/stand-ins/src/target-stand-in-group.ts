import { request } from 'undici'
import { z } from 'zod'
import type { InstanceListEntry } from './instance-list-stand-in.js'
import { StandInServer, type StandInResponse, type StandInRequest } from './stand-in-server.js'
import { targetFaults, type TargetFaults, type TargetStandIn } from './target-stand-in.js'

const targetFaultsChange = targetFaults.extend({ target: z.union([z.literal('*'), z.string(), z.array(z.string())]).default('*') })

/** Several targets in one process that share an admin interface, which faults do not affect. */
export class TargetStandInGroup<Target extends TargetStandIn> {
  readonly targets: readonly Target[]
  readonly #adminServer: StandInServer
  readonly #readLog: (target: string | undefined) => unknown

  constructor (targets: readonly Target[], readLog: (target: string | undefined) => unknown, host = '127.0.0.1') {
    this.targets = targets
    this.#readLog = readLog
    this.#adminServer = new StandInServer((incoming) => this.#handleAdmin(incoming), host)
  }

  /** Starts each target i on port `portBase + i`, or on a free port when `portBase` is 0. Returns `host:port` of each listener. */
  async start (portBase = 0, adminPort = 0): Promise<{ admin: string, targets: readonly string[] }> {
    const addresses: string[] = []
    for (const [index, target] of this.targets.entries()) addresses.push(await target.start(portBase === 0 ? 0 : portBase + index))
    return { admin: await this.#adminServer.start(adminPort), targets: addresses }
  }

  async stop (): Promise<void> {
    await Promise.all([this.#adminServer.stop(), ...this.targets.map((target) => target.stop())])
  }

  listEntries (): InstanceListEntry[] {
    return this.targets.map((target) => target.createListEntry())
  }

  /** Adds the targets to the instance list of the store stand-in whose admin interface is at `origin`. */
  async registerTargets (origin: string): Promise<void> {
    const response = await request(`${origin}/admin/instances`, { method: 'POST', body: JSON.stringify({ instances: this.listEntries() }) })
    await response.body.dump()
    if (response.statusCode !== 200) throw new Error(`registration at ${origin} failed with HTTP status ${response.statusCode}`)
  }

  async setFaults (ids: '*' | readonly string[], change: TargetFaults): Promise<void> {
    for (const target of this.targets) {
      if (ids === '*' || ids.includes(target.id)) await target.setFaults(change)
    }
  }

  async #handleAdmin (incoming: StandInRequest): Promise<StandInResponse> {
    switch (`${incoming.method} ${incoming.path}`) {
      case 'GET /log': return { status: 200, body: this.#readLog(incoming.query.get('target') ?? undefined) }
      case 'GET /instances': return { status: 200, body: this.listEntries() }
      case 'GET /admin/faults': return { status: 200, body: this.#readFaults() }
      case 'POST /admin/faults': {
        const parsed = targetFaultsChange.safeParse(incoming.body)
        if (!parsed.success) return { status: 400, body: { findings: parsed.error.issues } }
        const { target, ...change } = parsed.data
        const ids = target === '*' ? target : [target].flat()
        const unknown = ids === '*' ? [] : ids.filter((id) => !this.targets.some((known) => known.id === id))
        if (unknown.length > 0) return { status: 404, body: { unknown } }
        await this.setFaults(ids, change)
        return { status: 200, body: this.#readFaults() }
      }
      default: return { status: 404, body: {} }
    }
  }

  #readFaults (): Record<string, TargetFaults> {
    return Object.fromEntries(this.targets.map((target) => [target.id, target.readFaults()]))
  }
}
