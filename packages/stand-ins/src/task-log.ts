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
  /** Absent while it runs. */
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

/** Records the use of all workers of a process, and each moment at which it was wrong. */
export class TaskLog {
  readonly records: TaskRecord[] = []
  readonly violations: TaskViolation[] = []
  readonly #clock: Clock
  readonly #running = new Map<string, Set<TaskRecord>>()
  readonly #runningByRequest = new Map<string, Set<TaskRecord>>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  recordStart (use: TaskRecord, size: Resources): void {
    const tasks = ensureSet(this.#running, use.worker)
    const sameRequest = ensureSet(this.#runningByRequest, use.requestId)
    this.records.push(use)
    tasks.add(use)
    sameRequest.add(use)
    const total = [...tasks].reduce((sum, { resources }) => addResources(sum, resources), NO_RESOURCES)
    if (!isFitting(total, size)) this.#recordViolation('overcommit', use, tasks)
    // Tasks of a gang share request and attempt; two of the same task id or of different attempts run the same work twice.
    const doubles = [...sameRequest].filter((other) => other === use || other.attempt !== use.attempt || other.taskId === use.taskId)
    if (doubles.length > 1) this.#recordViolation('doubleRun', use, doubles)
  }

  recordEnd (use: TaskRecord, outcome: string): void {
    use.endedAtMs = this.#clock.readWallMs()
    use.outcome = outcome
    this.#running.get(use.worker)?.delete(use)
    const sameRequest = this.#runningByRequest.get(use.requestId)
    sameRequest?.delete(use)
    if (sameRequest?.size === 0) this.#runningByRequest.delete(use.requestId)
  }

  recordDuplicateStart (use: TaskRecord): void {
    this.#recordViolation('duplicateStart', use, [use])
  }

  #recordViolation (type: TaskViolation['type'], use: TaskRecord, tasks: Iterable<TaskRecord>): void {
    const taskIds = [...tasks].map(({ taskId }) => taskId)
    this.violations.push({ type, atMs: this.#clock.readWallMs(), worker: use.worker, requestId: use.requestId, taskIds })
  }
}

function ensureSet (sets: Map<string, Set<TaskRecord>>, key: string): Set<TaskRecord> {
  const present = sets.get(key) ?? new Set<TaskRecord>()
  sets.set(key, present)
  return present
}
