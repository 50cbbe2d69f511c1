import type { RequestId } from '@hibiscusledge/runtime/identifiers.js'
import type { ResourceVector } from './resource-vector.js'
import type { PoolState } from './pool-state.js'
import type { RunningRequest, RunningTask } from './running-task.js'
import type { TargetState } from './target-state.js'
import type { TargetRegistry } from './target-registry.js'
import type { WorkItem } from './work-item.js'

/** Records the running requests and charges their capacity to targets, pools, classes and teams. */
export class CapacityAccounting {
  readonly #targets: TargetRegistry
  readonly #requests = new Map<RequestId, RunningRequest>()
  readonly #servicesByRack = new Map<string, Map<string, number>>()

  constructor (targets: TargetRegistry) {
    this.#targets = targets
  }

  get runningCount (): number { return this.#requests.size }

  has (requestId: RequestId): boolean {
    return this.#requests.has(requestId)
  }

  getTask (requestId: RequestId, taskIndex: number): RunningTask | undefined {
    return this.#requests.get(requestId)?.tasks[taskIndex]
  }

  /** Returns the number of running services of the item's pool, team and kind by rack. */
  readServicesByRack (item: WorkItem): ReadonlyMap<string, number> | undefined {
    return this.#servicesByRack.get(this.#buildServiceKey(item))
  }

  /** Charges capacity for one task, or with factor -1 takes the charge back. */
  addUse (pool: PoolState, item: WorkItem, state: TargetState, resources: ResourceVector, factor: 1 | -1): void {
    state.addUse(pool.name, resources, factor)
    pool.addUse(item.urgency, item.team, resources, factor)
    if (factor < 0) pool.freedCapacityVersion++
    this.#targets.refresh(state, factor < 0)
  }

  /** Registers a started item whose capacity is already charged. */
  register (
    pool: PoolState, item: WorkItem, states: readonly TargetState[], allocated: ResourceVector, isProbe: boolean, startedAtMs: number
  ): void {
    const request: RunningRequest = { item, startedAtMs, tasks: [], remaining: states.length }
    this.#requests.set(item.requestId, request)
    for (const [taskIndex, state] of states.entries()) {
      const task: RunningTask = { request, taskIndex, targetState: state, allocated, charged: allocated, isProbe, isPreempted: false }
      request.tasks.push(task)
      state.tasks.add(task)
      pool.running[item.urgency].add(task)
      if (item.isService) this.#addService(item, state.target.rack, 1)
    }
  }

  /** Frees the capacity of one task and returns the task, or undefined when it holds none. */
  release (pool: PoolState, requestId: RequestId, taskIndex: number): RunningTask | undefined {
    const request = this.#requests.get(requestId)
    const task = request?.tasks[taskIndex]
    if (request === undefined || task === undefined) return undefined
    request.tasks[taskIndex] = undefined
    request.remaining--
    if (request.remaining === 0) this.#requests.delete(requestId)
    task.targetState.tasks.delete(task)
    pool.running[request.item.urgency].delete(task)
    if (request.item.isService) this.#addService(request.item, task.targetState.target.rack, -1)
    this.addUse(pool, request.item, task.targetState, task.charged, -1)
    return task
  }

  /** Changes the capacity charged for a running task. */
  updateCharged (pool: PoolState, task: RunningTask, charged: ResourceVector): void {
    const { item } = task.request
    this.addUse(pool, item, task.targetState, task.charged, -1)
    task.charged = charged
    this.addUse(pool, item, task.targetState, charged, 1)
  }

  #addService (item: WorkItem, rack: string, change: 1 | -1): void {
    const key = this.#buildServiceKey(item)
    const byRack = this.#servicesByRack.get(key) ?? new Map<string, number>()
    this.#servicesByRack.set(key, byRack)
    const count = (byRack.get(rack) ?? 0) + change
    if (count > 0) byRack.set(rack, count)
    else byRack.delete(rack)
    if (byRack.size === 0) this.#servicesByRack.delete(key)
  }

  #buildServiceKey (item: WorkItem): string {
    return JSON.stringify([item.pool, item.team, item.kind])
  }
}
