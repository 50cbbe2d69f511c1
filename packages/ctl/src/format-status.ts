import { URGENCIES, type Urgency } from '@hibiscusledge/scheduling/urgency.js'
import type { StatusResponse } from './response-schemas.js'
import { formatColumns } from './format-columns.js'

/** Formats the cluster as an instance sees it, with one table for each part. */
export function formatStatus (status: StatusResponse): readonly string[] {
  return [
    ...formatInstance(status),
    '', ...formatMembers(status.members),
    '', ...formatUnits(status.units),
    '', ...formatLoads(status.loads)
  ]
}

function formatInstance ({ instance, incarnation, failureDomain, state, tableRevision, store }: StatusResponse): readonly string[] {
  const age = store.lastAnswerAgeMs === null ? 'no answer yet' : `last answer ${Math.round(store.lastAnswerAgeMs)} ms ago`
  return formatColumns([
    ['instance', instance],
    ['incarnation', incarnation],
    ['failure domain', failureDomain],
    ['state', state],
    ['table revision', tableRevision === null ? 'none' : String(tableRevision)],
    ['store', `${store.isAvailable ? 'available' : 'not available'}, ${age}`]
  ])
}

function formatMembers (members: StatusResponse['members']): readonly string[] {
  return formatColumns([
    ['MEMBER', 'INCARNATION', 'FAILURE DOMAIN', 'STATE', 'LINK'],
    ...members.map(({ instance, incarnation, failureDomain, isDraining, isConnected }) => {
      return [instance, incarnation, failureDomain, isDraining ? 'draining' : 'serving', isConnected ? 'connected' : 'down']
    })
  ])
}

function formatUnits (units: StatusResponse['units']): readonly string[] {
  return formatColumns([['UNIT', 'OWNER', 'EPOCH'], ...units.map(({ unit, owner, epoch }) => [unit, owner, String(epoch)])])
}

function formatLoads (loads: StatusResponse['loads']): readonly string[] {
  return formatColumns([
    ['SHARD', 'POOL', 'TARGETS', 'FREE %', `QUEUED ${URGENCIES.join('/')}`, `EST. WAIT ms ${URGENCIES.join('/')}`],
    ...loads.flatMap(({ unit, pools }) => pools.map(({ pool, targetCount, freeShare, queued, estimatedWaitMs }) => {
      return [unit, pool, String(targetCount), (freeShare * 100).toFixed(1), formatByUrgency(queued), formatByUrgency(estimatedWaitMs)]
    }))
  ])
}

function formatByUrgency (values: Readonly<Record<Urgency, number>>): string {
  return URGENCIES.map((urgency) => Math.round(values[urgency])).join('/')
}
