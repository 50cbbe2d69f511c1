import { addResources, isFitting, NO_RESOURCES, subtractResources, type Resources } from '@hibiscusledge/scheduling/resources.js'
import type { CallerRecord } from './caller.js'
import type { ExecutorRun } from '@hibiscusledge/stand-ins/executor-stand-in.js'
import type { TaskRecord, TaskViolation } from '@hibiscusledge/stand-ins/task-log.js'
import { isIntactResult } from '@hibiscusledge/stand-ins/work-profile.js'

/** What a run of a cell left behind. Times are on one wall clock, as all processes run on one machine. */
export interface CellHistory {
  readonly requests: readonly CallerRecord[]
  readonly runs: readonly ExecutorRun[]
  readonly uses: readonly TaskRecord[]
  readonly useViolations: readonly TaskViolation[]
  readonly workerCapacity: Resources
  readonly exclusiveKinds: ReadonlySet<string>
  readonly nonIdempotentKinds: ReadonlySet<string>
  /** When the instance list began to show a target as leaving. */
  readonly leavingTargets: ReadonlyArray<{ readonly target: string, readonly atMs: number }>
  readonly plannedStops: ReadonlyArray<{ readonly instance: string, readonly startedAtMs: number, readonly exitCode: number | null }>
  readonly acceptedRevisions: ReadonlyArray<{ readonly revision: number, readonly atMs: number }>
  readonly revisionReadings: ReadonlyArray<{ readonly instance: string, readonly revision: number, readonly atMs: number }>
}

export interface Violation {
  readonly invariant: 'I1' | 'I2' | 'I3' | 'I4' | 'I5' | 'I6' | 'I7' | 'I8' | 'outcome'
  readonly subject: string
  readonly detail: string
}

const MAX_START_AFTER_LEAVING_MS = 3000
const MAX_TABLE_PROPAGATION_MS = 7000

/** Checks a history against the eight invariants of docs/design.md and against the rule of one outcome per request. */
export function checkHistory (history: CellHistory): Violation[] {
  return [
    ...checkOutcomes(history),
    ...checkWorkerCapacity(history),
    ...checkExclusiveKinds(history),
    ...checkResults(history),
    ...checkNotRunOutcomes(history),
    ...checkAtMostOnce(history),
    ...checkLeavingTargets(history),
    ...checkPlannedStops(history),
    ...checkTableRevisions(history)
  ]
}

function checkOutcomes ({ requests: callers }: CellHistory): Violation[] {
  return callers.filter(({ outcome }) => outcome === undefined)
    .map((record) => ({ invariant: 'outcome', subject: describeRecord(record), detail: 'no outcome' }))
}

function checkWorkerCapacity ({ uses, useViolations, workerCapacity: workerSize }: CellHistory): Violation[] {
  const violations: Violation[] = useViolations.filter(({ type }) => type === 'overcommit')
    .map(({ worker, requestId }) => ({ invariant: 'I1', subject: worker, detail: `over its size with ${requestId}` }))
  for (const [worker, ofWorker] of groupBy(uses, (use) => use.worker)) {
    const peak = findOvercommit(ofWorker, workerSize)
    if (peak !== undefined) violations.push({ invariant: 'I1', subject: worker, detail: `uses ${JSON.stringify(peak)}` })
  }
  return violations
}

function findOvercommit (uses: readonly TaskRecord[], size: Resources): Resources | undefined {
  const changes = uses.flatMap((use) => [
    { atMs: use.startedAtMs, order: 1, apply: (sum: Resources) => addResources(sum, use.resources) },
    { atMs: use.endedAtMs ?? Number.POSITIVE_INFINITY, order: 0, apply: (sum: Resources) => subtractResources(sum, use.resources) }
  ])
  changes.sort((left, right) => left.atMs - right.atMs || left.order - right.order)
  let sum = NO_RESOURCES
  for (const change of changes) {
    sum = change.apply(sum)
    if (!isFitting(sum, size)) return sum
  }
  return undefined
}

function checkExclusiveKinds ({ uses, useViolations, exclusiveKinds }: CellHistory): Violation[] {
  const violations: Violation[] = useViolations.filter(({ type }) => type === 'doubleRun')
    .map(({ requestId, taskIds }) => ({ invariant: 'I2', subject: requestId, detail: `runs twice: ${taskIds.join(', ')}` }))
  const exclusive = uses.filter(({ kind }) => exclusiveKinds.has(kind))
  for (const [requestId, ofRequest] of groupBy(exclusive, (use) => use.requestId)) {
    const ordered = [...ofRequest].sort((left, right) => left.startedAtMs - right.startedAtMs)
    ordered.forEach((use, index) => {
      const next = ordered[index + 1]
      const endedAtMs = use.endedAtMs ?? Number.POSITIVE_INFINITY
      if (next !== undefined && next.attempt !== use.attempt && next.startedAtMs < endedAtMs) violations.push({ invariant: 'I2', subject: requestId, detail: `${use.taskId} and ${next.taskId} overlap` })
    })
  }
  return violations
}

function checkResults ({ requests: callers }: CellHistory): Violation[] {
  return callers.filter(({ outcome, result, requestId, payload }) => outcome === 'completed' && !isErrorResult(result) &&
    !isIntactResult(result, requestId ?? '', payload) && !isCompleteGangResult(result, requestId ?? '', payload))
    .map((record) => ({ invariant: 'I3', subject: describeRecord(record), detail: 'the answer is not whole or not its own' }))
}

function isErrorResult (result: unknown): boolean {
  return typeof result === 'object' && result !== null && 'error' in result
}

function isCompleteGangResult (result: unknown, requestId: string, payload: unknown): boolean {
  if (typeof result !== 'object' || result === null || !('tasks' in result) || !Array.isArray(result.tasks)) return false
  return result.tasks.every((task) => isIntactResult(task, requestId, payload))
}

function checkNotRunOutcomes ({ requests: callers, runs, uses }: CellHistory): Violation[] {
  const started = new Set([...runs, ...uses].map(({ requestId }) => requestId))
  return callers.filter(({ outcome, requestId }) => outcome === 'notRun' && requestId !== undefined && started.has(requestId))
    .map((record) => ({ invariant: 'I4', subject: describeRecord(record), detail: 'told notRun, but a target ran it' }))
}

function checkAtMostOnce ({ runs, uses, nonIdempotentKinds }: CellHistory): Violation[] {
  const starts = [...runs, ...uses].filter(({ kind }) => nonIdempotentKinds.has(kind))
  return [...groupBy(starts, ({ requestId }) => requestId)].filter(([, ofRequest]) => ofRequest.length > 1)
    .map(([requestId, ofRequest]) => ({ invariant: 'I5', subject: requestId, detail: `${ofRequest.length} runs of a non-idempotent request` }))
}

function checkLeavingTargets ({ runs, uses, leavingTargets: leavings }: CellHistory): Violation[] {
  const starts = [...runs.map((run) => ({ ...run, at: run.target })), ...uses.map((use) => ({ ...use, at: use.worker }))]
  return leavings.flatMap(({ target, atMs }) => starts
    .filter((start) => start.at === target && start.startedAtMs > atMs + MAX_START_AFTER_LEAVING_MS)
    .map(({ requestId, startedAtMs }): Violation =>
      ({ invariant: 'I6', subject: target, detail: `${requestId} started ${startedAtMs - atMs} ms after the list showed it leaving` })))
}

function checkPlannedStops ({ requests: callers, plannedStops }: CellHistory): Violation[] {
  return plannedStops.flatMap(({ instance, startedAtMs, exitCode }) => {
    const violations: Violation[] = exitCode === 0 ? [] : [{ invariant: 'I7', subject: instance, detail: `exit code ${exitCode ?? 'none'}` }]
    for (const record of callers) {
      const broken = record.brokenConnections.find((connection) => connection.instance === instance && connection.atMs >= startedAtMs)
      if (broken !== undefined) violations.push({ invariant: 'I7', subject: instance, detail: `cut off ${describeRecord(record)}` })
    }
    return violations
  })
}

function checkTableRevisions ({ acceptedRevisions, revisionReadings }: CellHistory): Violation[] {
  const violations: Violation[] = []
  for (const [instance, readings] of groupBy(revisionReadings, (reading) => reading.instance)) {
    const ordered = [...readings].sort((left, right) => left.atMs - right.atMs)
    ordered.forEach((reading, index) => {
      const previous = ordered[index - 1]?.revision ?? 0
      if (reading.revision < previous) violations.push({ invariant: 'I8', subject: instance, detail: `from ${previous} back to ${reading.revision}` })
    })
    for (const { revision, atMs } of acceptedRevisions) {
      const late = ordered.find((reading) => reading.atMs > atMs + MAX_TABLE_PROPAGATION_MS && reading.revision < revision)
      if (late !== undefined) violations.push({ invariant: 'I8', subject: instance, detail: `${revision} not in force ${late.atMs - atMs} ms after` })
    }
  }
  return violations
}

function groupBy<Item> (items: Iterable<Item>, readKey: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const key = readKey(item)
    const group = groups.get(key) ?? []
    group.push(item)
    groups.set(key, group)
  }
  return groups
}

function describeRecord (record: CallerRecord): string {
  return `${record.kind} ${record.requestId ?? record.key ?? 'without id'}`
}
