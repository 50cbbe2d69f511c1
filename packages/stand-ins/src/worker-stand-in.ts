import type { Timer } from '@hibiscusledge/runtime/clock.js'
import { NO_RESOURCES, type Resources } from '@hibiscusledge/scheduling/resources.js'
import { z } from 'zod'
import type { StandInResponse, StandInRequest } from './stand-in-server.js'
import {
  NOT_FOUND, REFUSED_AS_LEAVING, REFUSED_AS_MALFORMED, TargetStandIn, type TargetFaults, type TargetStandInOptions
} from './target-stand-in.js'
import type { TaskRecord, TaskLog } from './task-log.js'
import type { SimulatedWork } from './work-simulator.js'
import { computePayloadDigest, createWorkResult, drawServiceMs, parseInstructions, type WorkInstructions, type WorkResult } from './work-profile.js'

export interface WorkerStandInOptions extends TargetStandInOptions {
  readonly capacity: Resources
  readonly taskLog: TaskLog
  readonly usageLagMs: number
  /** Fraction of the declared resources that tasks of a kind actually use. The key `default` applies to all other kinds. */
  readonly usageFactors: ReadonlyMap<string, number>
}

export type TaskState = 'running' | 'completed' | 'failed' | 'stopped' | 'checkpointed' | 'lost'

interface Task {
  readonly taskId: string
  readonly record: TaskRecord
  readonly instructions: WorkInstructions
  readonly startedAtMs: number
  state: TaskState
  work: SimulatedWork
  lease: Timer
  speed: number
  result?: WorkResult
  error?: { message: string }
  checkpoint?: string
}

const resources = z.object({ cores: z.number().min(0), memoryMb: z.number().min(0), accelerators: z.number().min(0) })
const startRequest = z.object({
  requestId: z.string().min(1),
  attempt: z.number().int().min(0),
  kind: z.string().min(1),
  resources,
  leaseMs: z.number().int().min(1),
  payload: z.unknown(),
  checkpoint: z.string().optional()
})
const taskIds = z.array(z.string()).default([])
const syncRequest = z.object({
  renew: taskIds, acknowledge: taskIds, leaseMs: z.number().int().min(1), waitMs: z.number().int().min(0).max(60_000).default(0)
})
const throttleRequest = z.object({ speed: z.number().positive().max(1) })

const FAILURE = { message: 'the task failed' } as const

/**
 * A worker, which runs tasks under leases. It enforces no limits: it starts every task and records violations, so that a
 * test can detect a scheduler that sends too much or sends work twice.
 */
export class WorkerStandIn extends TargetStandIn {
  readonly #options: WorkerStandInOptions
  readonly #tasks = new Map<string, Task>()
  readonly #syncWaiters = new Set<() => void>()

  constructor (options: WorkerStandInOptions) {
    super('worker', options)
    this.#options = options
  }

  override async stop (): Promise<void> {
    for (const task of this.#tasks.values()) task.lease.cancel()
    await super.stop()
  }

  override async setFaults (change: TargetFaults): Promise<void> {
    await super.setFaults(change)
    if (change.leaving !== undefined) this.#notifySyncWaiters()
  }

  protected override isWorkRequest (request: StandInRequest): boolean {
    return request.path !== '/sync'
  }

  protected override handleRequest (request: StandInRequest): StandInResponse | Promise<StandInResponse> {
    if (request.method === 'POST' && request.path === '/sync') return this.#handleSync(request)
    const [, collection, encodedId, action] = request.path.split('/')
    if (collection !== 'tasks' || encodedId === undefined) return NOT_FOUND
    const taskId = decodeURIComponent(encodedId)
    if (request.method === 'PUT' && action === undefined) return this.#startTask(taskId, request.body)
    const task = this.#tasks.get(taskId)
    if (request.method !== 'POST' || task === undefined) return NOT_FOUND
    switch (action) {
      case 'stop':
        this.#endTask(task, 'stopped')
        break
      case 'checkpoint':
        if (task.state === 'running') task.checkpoint = JSON.stringify({ remainingMs: this.#endTask(task, 'checkpointed') })
        break
      case 'throttle': {
        const throttle = throttleRequest.safeParse(request.body)
        if (!throttle.success) return REFUSED_AS_MALFORMED
        task.speed = throttle.data.speed
        task.work.setSpeed(task.speed)
        break
      }
      default: return NOT_FOUND
    }
    return { status: 200, body: this.#describeTask(task) }
  }

  #startTask (taskId: string, body: unknown): StandInResponse {
    const parsed = startRequest.safeParse(body)
    if (!parsed.success) return REFUSED_AS_MALFORMED
    const known = this.#tasks.get(taskId)
    if (known !== undefined) {
      this.#options.taskLog.recordDuplicateStart(known.record)
      return { status: 200, body: this.#describeTask(known) }
    }
    if (this.readFaults().leaving === true) return REFUSED_AS_LEAVING
    const { requestId, attempt, kind, resources, payload, leaseMs, checkpoint } = parsed.data
    const payloadDigest = computePayloadDigest(payload)
    const record = { worker: this.id, taskId, requestId, attempt, kind, resources, payloadDigest, startedAtMs: this.clock.readWallMs() }
    const instructions = parseInstructions(payload)
    const durationMs = parseCheckpoint(checkpoint) ?? drawServiceMs(kind, instructions, this.#options.serviceTimes, this.#options.random)
    const task: Task = {
      taskId,
      record,
      instructions,
      startedAtMs: this.clock.readMonotonicMs(),
      state: 'running',
      speed: 1,
      work: this.simulator.start(durationMs, () => this.#finishTask(task, payload)),
      lease: this.clock.startTimer(leaseMs, () => this.#endTask(task, 'lost'))
    }
    this.#tasks.set(taskId, task)
    this.#options.taskLog.recordStart(record, this.#options.capacity)
    return { status: 201, body: this.#describeTask(task) }
  }

  async #handleSync (request: StandInRequest): Promise<StandInResponse> {
    const parsed = syncRequest.safeParse(request.body)
    if (!parsed.success) return REFUSED_AS_MALFORMED
    const { renew, acknowledge, leaseMs, waitMs } = parsed.data
    for (const taskId of renew) {
      const task = this.#tasks.get(taskId)
      if (task?.state !== 'running') continue
      task.lease.cancel()
      task.lease = this.clock.startTimer(leaseMs, () => this.#endTask(task, 'lost'))
    }
    for (const taskId of acknowledge) {
      if (this.#tasks.get(taskId)?.state !== 'running') this.#tasks.delete(taskId)
    }
    const hasEnded = [...this.#tasks.values()].some(({ state }) => state !== 'running')
    if (waitMs > 0 && !hasEnded) await this.#waitForTaskEnd(waitMs, request)
    const tasks = [...this.#tasks.values()].map((task) => this.#describeTask(task))
    return { status: 200, body: { progress: this.simulator.readProgress(), leaving: this.readFaults().leaving === true, tasks } }
  }

  async #waitForTaskEnd (waitMs: number, request: StandInRequest): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = this.clock.startTimer(waitMs, resolve)
      const wake = (): void => {
        timer.cancel()
        this.#syncWaiters.delete(wake)
        resolve()
      }
      this.#syncWaiters.add(wake)
      request.onClosed(wake)
    })
  }

  #finishTask (task: Task, payload: unknown): void {
    const { requestId, attempt, kind } = task.record
    if (task.instructions.fail === true || this.readFaults().failAll === true) {
      task.error = FAILURE
      this.#endTask(task, 'failed')
      return
    }
    task.result = createWorkResult(requestId, attempt, kind, payload)
    this.#endTask(task, 'completed')
  }

  /** Ends a running task and returns its remaining milliseconds, or 0 when it has already ended. */
  #endTask (task: Task, state: TaskState): number {
    if (task.state !== 'running') return 0
    task.state = state
    task.lease.cancel()
    const remainingMs = task.work.stop()
    this.#options.taskLog.recordEnd(task.record, state)
    this.#notifySyncWaiters()
    return remainingMs
  }

  #describeTask (task: Task): unknown {
    const { taskId, record: { requestId, attempt }, state, result, error, checkpoint } = task
    return { taskId, requestId, attempt, state, result, error, checkpoint, usage: this.#readUsage(task) }
  }

  #notifySyncWaiters (): void {
    for (const wake of [...this.#syncWaiters]) wake()
  }

  // The reported usage is that of `usageLagMs` ago, so it is zero for a task that had not started then.
  #readUsage (task: Task): Resources {
    if (task.state !== 'running' || this.clock.readMonotonicMs() - task.startedAtMs < this.#options.usageLagMs) return NO_RESOURCES
    const { kind, resources: { cores, memoryMb, accelerators } } = task.record
    const factor = this.#options.usageFactors.get(kind) ?? this.#options.usageFactors.get('default') ?? 1
    const usage = task.instructions.usage
    return {
      cores: (usage?.cores ?? cores * factor) * task.speed,
      memoryMb: usage?.memoryMb ?? memoryMb * factor,
      accelerators: usage?.accelerators ?? accelerators
    }
  }
}

function parseCheckpoint (checkpoint: string | undefined): number | undefined {
  if (checkpoint === undefined) return undefined
  try {
    return z.object({ remainingMs: z.number().min(0) }).parse(JSON.parse(checkpoint)).remainingMs
  } catch {
    return undefined
  }
}
