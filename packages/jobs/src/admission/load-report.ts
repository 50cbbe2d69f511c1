import { z } from 'zod'
import { addResources, NO_RESOURCES } from '../capacity-tracker.js'
import type { ReadyStep } from '../job-table.js'
import type { Resources } from '../job.js'
import type { TargetView } from '../target-view.js'
import type { DrainMeter } from './drain-meter.js'
import { groupWaitingWork, type DemandContext } from './waiting-demand.js'
import { computeScaled, findScarcest, PACKING_FACTOR, RESOURCE_NAMES } from './work-amount.js'

export const loadReportSchema = z.object({
  term: z.number(),
  sequence: z.number(),
  services: z.array(z.object({
    service: z.string(),
    resource: z.enum(RESOURCE_NAMES),
    drainRate: z.number().nonnegative(),
    priorities: z.array(z.object({ priority: z.number(), ahead: z.number().nonnegative() }))
  }))
})

/** The load of the owner's targets, as it tells the other instances. */
export type LoadReport = z.infer<typeof loadReportSchema>
/** The load of one service. Work is counted in the resource that is scarcest for it, multiplied by milliseconds. */
export type ServiceLoad = LoadReport['services'][number]

/**
 * Builds the load of each service with waiting work. For each priority, `ahead` is the waiting work of this and all higher
 * priorities within the accounts' shares. `drainRate` is the rate at which the service finishes work of all priorities. The part
 * that work of higher priority takes isn't subtracted: it is high for the seconds of a burst only, while a refusal looks three
 * objectives ahead, and such work counts as ahead as long as it waits.
 */
export function buildServiceLoads (
  ready: Iterable<ReadyStep>, context: DemandContext, targets: readonly TargetView[], drain: DrainMeter
): ServiceLoad[] {
  return [...groupWaitingWork(ready, context)].map(([service, waiting]) => {
    const capacity = sumResources(targets.filter((target) => target.service === service).map((target) => target.capacity))
    const usable = computeScaled(capacity, PACKING_FACTOR)
    const resource = findScarcest(sumResources(waiting.values()), usable)
    let ahead = 0
    const priorities = [...waiting].sort(([left], [right]) => left - right).map(([priority, work]) => {
      ahead += work[resource]
      return { priority, ahead }
    })
    return { service, resource, drainRate: drain.estimateRate(service, usable, resource), priorities }
  })
}

function sumResources (amounts: Iterable<Resources>): Resources {
  return [...amounts].reduce(addResources, NO_RESOURCES)
}
