import type { ExperimentResult } from './experiment.js'
import type { KindSummary } from './kind-summary.js'

const COLUMNS = ['pattern', 'seed', 'worth', 'busy', 'discarded', 'waiting gangs', 'kind', 'jobs', 'kept', 'in time', 'late', 'refused', 'wait p50 s', 'wait p95 s']

/** Formats the results as a Markdown table with a row for each kind of job. */
export function formatResults (results: readonly ExperimentResult[]): string {
  const rows = results.flatMap((result) => result.kinds.map((kind) => formatRow(result, kind)))
  return [formatLine(COLUMNS), formatLine(COLUMNS.map(() => '---')), ...rows.map(formatLine)].join('\n')
}

function formatRow ({ pattern, seed, worth, busyShare, discardedShare, waitedShare }: ExperimentResult, kind: KindSummary): string[] {
  return [
    pattern,
    String(seed),
    worth.toFixed(3),
    busyShare.toFixed(3),
    discardedShare.toFixed(3),
    waitedShare.toFixed(3),
    kind.name,
    String(kind.jobs),
    (kind.earned / kind.owed).toFixed(3),
    (kind.inTime / kind.jobs).toFixed(3),
    (kind.late / kind.jobs).toFixed(3),
    (kind.refused / kind.jobs).toFixed(3),
    formatSeconds(kind.waitP50Ms),
    formatSeconds(kind.waitP95Ms)
  ]
}

function formatSeconds (durationMs: number): string {
  return Number.isFinite(durationMs) ? (durationMs / 1_000).toFixed(2) : 'not placed'
}

function formatLine (cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`
}
