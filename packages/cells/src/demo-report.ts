import { build } from 'hdr-histogram-js'
import type { CallerRecord } from './caller.js'
import type { ExecutorRun } from '@hibiscusledge/stand-ins/executor-stand-in.js'
import type { TaskRecord } from '@hibiscusledge/stand-ins/task-log.js'

const COLUMNS = ['kind', 'requests', 'completed', 'notRun', 'unknown', 'wait p50 ms', 'wait p99 ms', 'instances'] as const

/**
 * Formats one row per kind: outcomes, time from the caller's send to the first start on a target, and the number of entry
 * instances that answered.
 */
export function formatKindTable (
  records: readonly CallerRecord[], runs: readonly ExecutorRun[], taskRecords: readonly TaskRecord[]
): string {
  const startTimes = new Map<string, number>()
  for (const { requestId, startedAtMs } of [...runs, ...taskRecords]) {
    startTimes.set(requestId, Math.min(startedAtMs, startTimes.get(requestId) ?? Number.POSITIVE_INFINITY))
  }
  const kinds = [...new Set(records.map(({ kind }) => kind))].sort()
  const rows = kinds.map((kind) => formatRow(kind, records.filter((record) => record.kind === kind), startTimes))
  const widths = COLUMNS.map((column, index) => Math.max(column.length, ...rows.map((row) => row[index]?.length ?? 0)))
  return [COLUMNS, ...rows].map((row) => row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ')).join('\n')
}

function formatRow (kind: string, records: readonly CallerRecord[], startTimes: ReadonlyMap<string, number>): string[] {
  const waits = build()
  for (const { requestId, sentAtMs } of records) {
    const startedAtMs = requestId === undefined ? undefined : startTimes.get(requestId)
    if (startedAtMs !== undefined) waits.recordValue(Math.max(0, startedAtMs - sentAtMs))
  }
  const count = (outcome: CallerRecord['outcome']): string => String(records.filter((record) => record.outcome === outcome).length)
  const instances = new Set(records.flatMap((record) => record.instances.slice(-1)))
  return [
    kind, String(records.length), count('completed'), count('notRun'), count('unknown'),
    String(waits.getValueAtPercentile(50)), String(waits.getValueAtPercentile(99)), String(instances.size)
  ]
}
