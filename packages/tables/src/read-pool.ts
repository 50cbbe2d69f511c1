import { toFailureDomain } from '@hibiscusledge/runtime/identifiers.js'
import type { ClassPolicy, PoolPolicy } from '@hibiscusledge/scheduling/pool-policy.js'
import { TARGET_KINDS } from '@hibiscusledge/scheduling/target.js'
import { URGENCIES, type Urgency } from '@hibiscusledge/scheduling/urgency.js'
import type { RowReader } from './row-reader.js'
import { CLASS_COLUMNS, type PoolColumn } from './table-columns.js'
import { CELL_BOUNDS, MAX_DECIMAL_PLACES, POOL_DEFAULTS } from './table-limits.js'
import { TABLE_PROBLEMS } from './table-messages.js'

/** Reads a row of `pools.csv` and checks the rules within the row. */
export function readPool (reader: RowReader<PoolColumn>): PoolPolicy {
  const pool: PoolPolicy = {
    name: reader.readName('pool'),
    targetKind: reader.readChoice('targets', [TARGET_KINDS.executor, TARGET_KINDS.worker]),
    failureDomains: reader.readNames('failureDomains').map(toFailureDomain),
    racks: reader.readNames('racks'),
    labels: reader.readLabels('labels'),
    slotsPerTarget: reader.readInteger('slots', CELL_BOUNDS.slots, undefined),
    connectionsPerTarget: reader.readInteger('connections', CELL_BOUNDS.connections, undefined),
    classes: {
      urgent: readClass(reader, 'urgent'),
      high: readClass(reader, 'high'),
      normal: readClass(reader, 'normal'),
      low: readClass(reader, 'low')
    },
    teamQuotas: reader.readPercentages('teamQuotas', CELL_BOUNDS.quotaPercent)
  }
  if (reader.isValid('targets', 'slots') && pool.targetKind === TARGET_KINDS.worker && pool.slotsPerTarget !== undefined) {
    reader.addFinding('slots', TABLE_PROBLEMS.workerSlots())
  }
  checkFloors(reader, pool)
  return pool
}

function readClass (reader: RowReader<PoolColumn>, urgency: Urgency): ClassPolicy {
  const columns = CLASS_COLUMNS[urgency]
  return {
    floorPercent: reader.readDecimal(columns.floorPercent, CELL_BOUNDS.percent, POOL_DEFAULTS.floorPercent),
    limitPercent: reader.readDecimal(columns.limitPercent, CELL_BOUNDS.percent, POOL_DEFAULTS.limitPercent),
    maxQueueMs: reader.readInteger(columns.maxQueueMs, CELL_BOUNDS.maxQueueMs, POOL_DEFAULTS.maxQueueMs[urgency])
  }
}

function checkFloors (reader: RowReader<PoolColumn>, pool: PoolPolicy): void {
  const floorColumns = URGENCIES.map((urgency) => CLASS_COLUMNS[urgency].floorPercent)
  const scale = 10 ** MAX_DECIMAL_PLACES
  // Summed as integers, since 0.1 + 28.5 + 35.7 + 35.7 is greater than 100 in floating point.
  const scaledFloors = URGENCIES.map((urgency) => Math.round(pool.classes[urgency].floorPercent * scale))
  const sum = scaledFloors.reduce((total, unit) => total + unit, 0) / scale
  const hasValidFloors = reader.isValid(...floorColumns)
  for (const urgency of URGENCIES) {
    const columns = CLASS_COLUMNS[urgency]
    const { floorPercent, limitPercent } = pool.classes[urgency]
    if (!reader.isValid(columns.floorPercent, columns.limitPercent) || floorPercent <= limitPercent) continue
    reader.addFinding(columns.floorPercent, TABLE_PROBLEMS.floorOverLimit(urgency, floorPercent, limitPercent))
  }
  if (hasValidFloors && sum > 100) reader.addFinding(CLASS_COLUMNS.urgent.floorPercent, TABLE_PROBLEMS.floorsOverCapacity(sum))
}
