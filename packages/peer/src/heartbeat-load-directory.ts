import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { toUnitId, type UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { z } from 'zod'
import type { LoadDirectory, ShardLoad } from './load-directory.js'

/** Older load reports are ignored. */
export const LOAD_MAX_AGE_MS = 3_000

const urgencyValuesSchema = z.object({ urgent: z.number(), high: z.number(), normal: z.number(), low: z.number() })
export const shardLoadSchema = z.object({
  unit: z.string().transform(toUnitId),
  epoch: z.number().int(),
  pools: z.array(z.object({
    pool: z.string(),
    targetCount: z.number(),
    freeShare: z.number(),
    queued: urgencyValuesSchema,
    estimatedWaitMs: urgencyValuesSchema
  }))
})

interface ReceivedLoad { readonly load: ShardLoad, readonly receivedMs: number }

/** Shard loads reported in the heartbeats of peers. */
export class HeartbeatLoadDirectory implements LoadDirectory {
  readonly #clock: Clock
  readonly #reports = new Map<UnitId, ReceivedLoad>()
  #readLocalLoads: () => readonly ShardLoad[] = () => []

  constructor (clock: Clock) {
    this.#clock = clock
  }

  setLocalLoadProvider (provider: () => readonly ShardLoad[]): void {
    this.#readLocalLoads = provider
  }

  listLocalLoads (): readonly ShardLoad[] {
    return this.#readLocalLoads()
  }

  /** Records the loads that a peer reports. A report with an outdated epoch does not replace that of a newer owner. */
  recordReports (loads: readonly ShardLoad[]): void {
    const receivedMs = this.#clock.readMonotonicMs()
    for (const load of loads) {
      const known = this.#findRecentLoad(load.unit)
      if (known === undefined || load.epoch >= known.epoch) this.#reports.set(load.unit, { load, receivedMs })
    }
  }

  findLoad (unit: UnitId): ShardLoad | undefined {
    const reported = this.#findRecentLoad(unit)
    const local = this.#readLocalLoads().find((load) => load.unit === unit)
    return local !== undefined && local.epoch >= (reported?.epoch ?? 0) ? local : reported
  }

  #findRecentLoad (unit: UnitId): ShardLoad | undefined {
    const report = this.#reports.get(unit)
    if (report === undefined) return undefined
    if (this.#clock.readMonotonicMs() - report.receivedMs <= LOAD_MAX_AGE_MS) return report.load
    this.#reports.delete(unit)
    return undefined
  }
}
