import { addResources, isFitting, NO_RESOURCES, subtractResources, type Resources } from '@hibiscusledge/scheduling/resources.js'
import type { CallerRecord } from './caller.js'
import type { ExecutorRun } from '@hibiscusledge/stand-ins/executor-stand-in.js'
import type { TaskRecord, TaskViolation } from '@hibiscusledge/stand-ins/task-log.js'
import { isIntactResult } from '@hibiscusledge/stand-ins/work-profile.js'

/** Record of one run of a cell. All times are from the same wall clock, as all processes run on one machine. */
export interface CellHistory {
  readonly requests: readonly CallerRecord[]
  readonly runs: readonly ExecutorRun[]
  readonly taskRecords: readonly TaskRecord[]
  readonly taskViolations: readonly TaskViolation[]
  readonly workerCapacity: Resources
  readonly exclusiveKinds: ReadonlySet<string>
  readonly nonIdempotentKinds: ReadonlySet<string>
  /** Targets that the instance list showed as leaving, each with the time at which it began to. */
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

/** Latest start of work on a target after the instance list shows it as leaving. */
const MAX_START_AFTER_LEAVING_MS = 3000
/** Time within which every instance must apply an accepted revision. */
const MAX_TABLE_PROPAGATION_MS = 7000

/** Checks a history against the eight invariants of docs/design.md, and that every request has an outcome. */
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

function checkOutcomes ({ requests }: CellHistory): Violation[] {
  return requests.filter(({ outcome }) => outcome === undefined)
    .map((record) => ({ invariant: 'outcome', subject: describeRequest(record), detail: 'no outcome' }))
}

function checkWorkerCapacity ({ taskRecords, taskViolations, workerCapacity }: CellHistory): Violation[] {
  const violations: Violation[] = taskViolations.filter(({ type }) => type === 'overcommit')
    .map(({ worker, requestId }) => ({ invariant: 'I1', subject: worker, detail: `over its capacity with ${requestId}` }))
  for (const [worker, recordsOfWorker] of groupBy(taskRecords, (record) => record.worker)) {
    const overcommit = findOvercommit(recordsOfWorker, workerCapacity)
    if (overcommit !== undefined) violations.push({ invariant: 'I1', subject: worker, detail: `uses ${JSON.stringify(overcommit)}` })
  }
  return violations
}

/** Returns the first sum of concurrent resources that exceeds the capacity. */
function findOvercommit (records: readonly TaskRecord[], capacity: Resources): Resources | undefined {
  const changes = records.flatMap((record) => [
    { atMs: record.startedAtMs, order: 1, apply: (sum: Resources) => addResources(sum, record.resources) },
    { atMs: record.endedAtMs ?? Number.POSITIVE_INFINITY, order: 0, apply: (sum: Resources) => subtractResources(sum, record.resources) }
  ])
  // At the same time, ends come before starts: a task may start in the millisecond in which another one ends.
  changes.sort((left, right) => left.atMs - right.atMs || left.order - right.order)
  let sum = NO_RESOURCES
  for (const change of changes) {
    sum = change.apply(sum)
    if (!isFitting(sum, capacity)) return sum
  }
  return undefined
}

function checkExclusiveKinds ({ taskRecords, taskViolations, exclusiveKinds }: CellHistory): Violation[] {
  const violations: Violation[] = taskViolations.filter(({ type }) => type === 'doubleRun')
    .map(({ requestId, taskIds }) => ({ invariant: 'I2', subject: requestId, detail: `runs twice: ${taskIds.join(', ')}` }))
  const exclusiveRecords = taskRecords.filter(({ kind }) => exclusiveKinds.has(kind))
  for (const [requestId, runsOfRequest] of groupBy(exclusiveRecords, (record) => record.requestId)) {
    const ordered = [...runsOfRequest].sort((left, right) => left.startedAtMs - right.startedAtMs)
    ordered.forEach((record, index) => {
      const next = ordered[index + 1]
      const endedAtMs = record.endedAtMs ?? Number.POSITIVE_INFINITY
      if (next !== undefined && next.attempt !== record.attempt && next.startedAtMs < endedAtMs) violations.push({ invariant: 'I2', subject: requestId, detail: `${record.taskId} and ${next.taskId} overlap` })
    })
  }
  return violations
}

function checkResults ({ requests }: CellHistory): Violation[] {
  return requests.filter(({ outcome, result, requestId, payload }) => outcome === 'completed' && !isErrorResult(result) &&
    !isIntactResult(result, requestId ?? '', payload) && !isCompleteGangResult(result, requestId ?? '', payload))
    .map((record) => ({ invariant: 'I3', subject: describeRequest(record), detail: 'the result is damaged or belongs to another request' }))
}

function isErrorResult (result: unknown): boolean {
  return typeof result === 'object' && result !== null && 'error' in result
}

function isCompleteGangResult (result: unknown, requestId: string, payload: unknown): boolean {
  if (typeof result !== 'object' || result === null || !('tasks' in result) || !Array.isArray(result.tasks)) return false
  return result.tasks.every((task) => isIntactResult(task, requestId, payload))
}

function checkNotRunOutcomes ({ requests, runs, taskRecords }: CellHistory): Violation[] {
  const started = new Set([...runs, ...taskRecords].map(({ requestId }) => requestId))
  return requests.filter(({ outcome, requestId }) => outcome === 'notRun' && requestId !== undefined && started.has(requestId))
    .map((record) => ({ invariant: 'I4', subject: describeRequest(record), detail: 'reported as notRun, but a target ran it' }))
}

function checkAtMostOnce ({ runs, taskRecords, nonIdempotentKinds }: CellHistory): Violation[] {
  const starts = [...runs, ...taskRecords].filter(({ kind }) => nonIdempotentKinds.has(kind))
  return [...groupBy(starts, ({ requestId }) => requestId)].filter(([, runsOfRequest]) => runsOfRequest.length > 1)
    .map(([requestId, runsOfRequest]) => ({ invariant: 'I5', subject: requestId, detail: `${runsOfRequest.length} runs of a non-idempotent request` }))
}

function checkLeavingTargets ({ runs, taskRecords, leavingTargets }: CellHistory): Violation[] {
  const starts = [
    ...runs.map((run) => ({ ...run, startedOn: run.target })),
    ...taskRecords.map((record) => ({ ...record, startedOn: record.worker }))
  ]
  return leavingTargets.flatMap(({ target, atMs }) => starts
    .filter((start) => start.startedOn === target && start.startedAtMs > atMs + MAX_START_AFTER_LEAVING_MS)
    .map(({ requestId, startedAtMs }): Violation =>
      ({ invariant: 'I6', subject: target, detail: `${requestId} started ${startedAtMs - atMs} ms after the list showed it leaving` })))
}

function checkPlannedStops ({ requests, plannedStops }: CellHistory): Violation[] {
  return plannedStops.flatMap(({ instance, startedAtMs, exitCode }) => {
    const violations: Violation[] = exitCode === 0 ? [] : [{ invariant: 'I7', subject: instance, detail: `exit code ${exitCode ?? 'none'}` }]
    for (const record of requests) {
      const brokenConnection = record.brokenConnections
        .find((connection) => connection.instance === instance && connection.atMs >= startedAtMs)
      if (brokenConnection !== undefined) violations.push({ invariant: 'I7', subject: instance, detail: `cut off ${describeRequest(record)}` })
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
      if (reading.revision < previous) violations.push({ invariant: 'I8', subject: instance, detail: `went back from revision ${previous} to ${reading.revision}` })
    })
    for (const { revision, atMs } of acceptedRevisions) {
      const outdated = ordered.find((reading) => reading.atMs > atMs + MAX_TABLE_PROPAGATION_MS && reading.revision < revision)
      if (outdated !== undefined) violations.push({ invariant: 'I8', subject: instance, detail: `${revision} is an accepted revision, but was not applied ${outdated.atMs - atMs} ms after its acceptance` })
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

function describeRequest (record: CallerRecord): string {
  return `${record.kind} ${record.requestId ?? record.key ?? 'without id'}`
}
