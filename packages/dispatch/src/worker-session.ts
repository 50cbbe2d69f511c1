import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { request } from 'undici'
import { z } from 'zod'
import { resourcesSchema } from './ledger-entry.js'
import type { RunOrder, RunReport, TargetAddress, TargetProgress, UsageListener } from './target-client.js'
import { readJsonBody, targetErrorSchema } from './target-response.js'

export const WORKER_LEASE_MS = 15_000
/** Long-poll time: the worker answers a sync at once when a task has ended, otherwise after this time. */
const SYNC_LONG_POLL_MS = 1000
const SYNC_TIMEOUT_MS = SYNC_LONG_POLL_MS + 2000
/** A worker may receive a renewal until the sync call times out. Another 2 s allow for clock drift between the machines. */
export const LEASE_MARGIN_MS = SYNC_TIMEOUT_MS + 2000
/** Acknowledgements to a worker that has not answered for this long are discarded, as the worker is gone for good. */
const ACKNOWLEDGE_RETRY_TIMEOUT_MS = 60_000
const RETRY_DELAY_MS = 500
const SYNC_PERIOD_MIN_MS = 20
/**
 * A worker that has not answered for this long gets no more renewals. If only its answers are lost, renewals would still
 * extend its leases, which must expire before its tasks count as ended.
 */
const RENEWAL_CUTOFF_MS = 5000

const syncSchema = z.object({
  progress: z.number(),
  leaving: z.boolean(),
  tasks: z.array(z.object({
    taskId: z.string(),
    state: z.enum(['running', 'throttled', 'completed', 'failed', 'stopped', 'checkpointed', 'lost']),
    result: z.unknown().default(null),
    error: targetErrorSchema.optional(),
    checkpoint: z.string().optional(),
    usage: resourcesSchema.optional()
  }))
})
type SyncedTask = z.output<typeof syncSchema>['tasks'][number]

interface TrackedTask {
  readonly order: RunOrder
  readonly trackedSinceMs: number
  /** When the last renewal was sent. The worker may have received it. */
  lastRenewedAtMs: number
  /** When the worker was first seen to list the task; undefined before. */
  listedAtMs: number | undefined
  resolve (report: RunReport): void
}

export function formatTaskId (order: Pick<RunOrder, 'requestId' | 'attempt' | 'taskIndex'>): string {
  return `${order.requestId}.${order.attempt}.${order.taskIndex}`
}

/** Tracks all tasks on one worker with one sync call at a time, which also renews their leases. */
export class WorkerSession {
  readonly #target: TargetAddress
  readonly #clock: Clock
  readonly #onUsage: UsageListener
  readonly #tasks = new Map<string, TrackedTask>()
  readonly #unacknowledged = new Set<string>()
  #progress: TargetProgress | undefined
  #isSyncing = false
  #isClosed = false
  #lastAnsweredAtMs: number

  constructor (target: TargetAddress, clock: Clock, onUsage: UsageListener) {
    this.#target = target
    this.#clock = clock
    this.#onUsage = onUsage
    this.#lastAnsweredAtMs = clock.readMonotonicMs()
  }

  track (order: RunOrder): Promise<RunReport> {
    if (this.#isClosed) return Promise.resolve({ type: 'detached' })
    const nowMs = this.#clock.readMonotonicMs()
    return new Promise((resolve) => {
      this.#tasks.set(formatTaskId(order), { order, trackedSinceMs: nowMs, lastRenewedAtMs: nowMs, listedAtMs: undefined, resolve })
      this.#startSync()
    })
  }

  discard (order: RunOrder): void {
    this.#tasks.delete(formatTaskId(order))
  }

  acknowledge (order: RunOrder): void {
    this.#unacknowledged.add(formatTaskId(order))
    this.#startSync()
  }

  async readProgress (): Promise<TargetProgress | undefined> {
    if (this.#tasks.size === 0) await this.#syncOnce(0)
    return this.#progress
  }

  close (): void {
    this.#isClosed = true
    for (const task of this.#tasks.values()) task.resolve({ type: 'detached' })
    this.#tasks.clear()
  }

  #startSync (): void {
    if (this.#isSyncing || this.#isClosed) return
    this.#isSyncing = true
    this.#lastAnsweredAtMs = this.#clock.readMonotonicMs()
    void this.#runSyncLoop().finally(() => { this.#isSyncing = false })
  }

  async #runSyncLoop (): Promise<void> {
    while (!this.#isClosed && (this.#tasks.size > 0 || this.#unacknowledged.size > 0)) {
      const sentAtMs = this.#clock.readMonotonicMs()
      const isAnswered = await this.#syncOnce(SYNC_LONG_POLL_MS)
      if (!isAnswered) this.#expireLeases()
      if (sentAtMs - this.#lastAnsweredAtMs > ACKNOWLEDGE_RETRY_TIMEOUT_MS) this.#unacknowledged.clear()
      // Limits the rate of syncs: the worker answers at once while it lists an ended task that is not acknowledged yet.
      const elapsedMs = this.#clock.readMonotonicMs() - sentAtMs
      const delayMs = isAnswered ? SYNC_PERIOD_MIN_MS - elapsedMs : RETRY_DELAY_MS
      if (delayMs > 0) await new Promise<void>((resolve) => { this.#clock.startTimer(delayMs, resolve) })
    }
  }

  async #syncOnce (waitMs: number): Promise<boolean> {
    const sentAtMs = this.#clock.readMonotonicMs()
    const acknowledge = [...this.#unacknowledged]
    const isRenewing = sentAtMs - this.#lastAnsweredAtMs <= RENEWAL_CUTOFF_MS
    const renew = isRenewing ? [...this.#tasks.keys()] : []
    for (const taskId of renew) {
      const task = this.#tasks.get(taskId)
      if (task !== undefined) task.lastRenewedAtMs = sentAtMs
    }
    try {
      const response = await request(`http://${this.#target.address}/sync`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ renew, leaseMs: WORKER_LEASE_MS, acknowledge, waitMs: renew.length === 0 ? 0 : waitMs }),
        headersTimeout: SYNC_TIMEOUT_MS,
        bodyTimeout: SYNC_TIMEOUT_MS
      })
      const parsed = syncSchema.safeParse(await readJsonBody(response.body))
      if (!parsed.success || response.statusCode !== 200) return false
      this.#lastAnsweredAtMs = this.#clock.readMonotonicMs()
      for (const taskId of acknowledge) this.#unacknowledged.delete(taskId)
      this.#applySync(parsed.data, sentAtMs)
      return true
    } catch {
      this.#progress = undefined
      return false
    }
  }

  #applySync (synced: z.output<typeof syncSchema>, sentAtMs: number): void {
    const running = synced.tasks.filter((task) => task.state === 'running' || task.state === 'throttled')
    this.#progress = { progress: synced.progress, running: running.length, isLeaving: synced.leaving }
    const listed = new Map(synced.tasks.map((task) => [task.taskId, task]))
    for (const [taskId, tracked] of this.#tasks) {
      const task = listed.get(taskId)
      if (task === undefined) this.#checkAbsence(taskId, tracked, sentAtMs)
      else this.#applyTask(taskId, tracked, task)
    }
  }

  #applyTask (taskId: string, tracked: TrackedTask, task: SyncedTask): void {
    tracked.listedAtMs ??= this.#clock.readMonotonicMs()
    if (task.usage !== undefined) this.#onUsage(tracked.order.requestId, tracked.order.taskIndex, task.usage)
    const report = buildReport(task)
    if (report === undefined) return
    this.#tasks.delete(taskId)
    tracked.resolve(report)
  }

  /**
   * A task that the worker had listed before the sync was sent, and lists no longer, has ended. The start of one that was never listed
   * may still be in transit, so it counts as ended only after a lease and its margin: the lease of a later start would not be renewed.
   */
  #checkAbsence (taskId: string, tracked: TrackedTask, sentAtMs: number): void {
    const isSettled = sentAtMs - tracked.trackedSinceMs > WORKER_LEASE_MS + LEASE_MARGIN_MS
    const wasListed = tracked.listedAtMs !== undefined && tracked.listedAtMs < sentAtMs
    if (!wasListed && !isSettled) return
    this.#tasks.delete(taskId)
    tracked.resolve({ type: 'lost', message: 'the worker no longer lists the task' })
  }

  /** Ends the tasks whose leases must have expired: a worker ends a task whose lease is not renewed. */
  #expireLeases (): void {
    const nowMs = this.#clock.readMonotonicMs()
    for (const [taskId, tracked] of this.#tasks) {
      const renewedAtMs = Math.max(tracked.lastRenewedAtMs, tracked.trackedSinceMs)
      if (nowMs - renewedAtMs <= WORKER_LEASE_MS + LEASE_MARGIN_MS) continue
      this.#tasks.delete(taskId)
      tracked.resolve({ type: 'lost', message: 'the worker was not reached for longer than the lease' })
    }
  }
}

function buildReport (task: SyncedTask): RunReport | undefined {
  switch (task.state) {
    case 'running':
    case 'throttled':
      return undefined
    case 'completed':
      return { type: 'succeeded', result: task.result }
    case 'failed':
      return { type: 'failed', message: task.error?.message ?? 'the task failed' }
    case 'stopped':
      return { type: 'failed', message: task.error?.message ?? 'stopped on request' }
    case 'checkpointed':
      return { type: 'checkpointed', checkpoint: task.checkpoint }
    case 'lost':
      return { type: 'lost', message: task.error?.message ?? 'the lease lapsed' }
  }
}
