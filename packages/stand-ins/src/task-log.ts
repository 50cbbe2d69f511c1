import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { addResources, isFitting, NO_RESOURCES, type Resources } from '@hibiscusledge/scheduling/resources.js'

export interface TaskRecord {
  readonly worker: string
  readonly taskId: string
  readonly requestId: string
  readonly attempt: number
  readonly kind: string
  readonly resources: Resources
  readonly payloadDigest: string
  readonly startedAtMs: number
  /** Absent while the task runs. */
  endedAtMs?: number
  outcome?: string
}

export interface TaskViolation {
  readonly type: 'overcommit' | 'doubleRun' | 'duplicateStart'
  readonly atMs: number
  readonly worker: string
  readonly requestId: string
  readonly taskIds: readonly string[]
}

/** Records the tasks of all workers of a process, and each violation: exceeded capacity, work that runs twice, a repeated start. */
export class TaskLog {
  readonly records: TaskRecord[] = []
  readonly violations: TaskViolation[] = []
  readonly #clock: Clock
  readonly #running = new Map<string, Set<TaskRecord>>()
  readonly #runningByRequest = new Map<string, Set<TaskRecord>>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  recordStart (record: TaskRecord, capacity: Resources): void {
    const tasks = ensureSet(this.#running, record.worker)
    const tasksOfRequest = ensureSet(this.#runningByRequest, record.requestId)
    this.records.push(record)
    tasks.add(record)
    tasksOfRequest.add(record)
    const total = [...tasks].reduce((sum, { resources }) => addResources(sum, resources), NO_RESOURCES)
    if (!isFitting(total, capacity)) this.#recordViolation('overcommit', record, tasks)
    // Tasks of a gang share request and attempt. Two tasks with the same id or with different attempts run the same work twice.
    const duplicates = [...tasksOfRequest]
      .filter((other) => other === record || other.attempt !== record.attempt || other.taskId === record.taskId)
    if (duplicates.length > 1) this.#recordViolation('doubleRun', record, duplicates)
  }

  recordEnd (record: TaskRecord, outcome: string): void {
    record.endedAtMs = this.#clock.readWallMs()
    record.outcome = outcome
    this.#running.get(record.worker)?.delete(record)
    const tasksOfRequest = this.#runningByRequest.get(record.requestId)
    tasksOfRequest?.delete(record)
    if (tasksOfRequest?.size === 0) this.#runningByRequest.delete(record.requestId)
  }

  recordDuplicateStart (record: TaskRecord): void {
    this.#recordViolation('duplicateStart', record, [record])
  }

  #recordViolation (type: TaskViolation['type'], record: TaskRecord, tasks: Iterable<TaskRecord>): void {
    const taskIds = [...tasks].map(({ taskId }) => taskId)
    this.violations.push({ type, atMs: this.#clock.readWallMs(), worker: record.worker, requestId: record.requestId, taskIds })
  }
}

function ensureSet (sets: Map<string, Set<TaskRecord>>, key: string): Set<TaskRecord> {
  const existing = sets.get(key) ?? new Set<TaskRecord>()
  sets.set(key, existing)
  return existing
}
