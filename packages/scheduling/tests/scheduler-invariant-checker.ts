import { toRequestId, toTargetId, type RequestId } from '@hibiscusledge/runtime/identifiers.js'
import fc from 'fast-check'
import type { Decision } from '../src/decision.js'
import { PoolShardScheduler } from '../src/pool-shard-scheduler.js'
import { URGENCIES } from '../src/urgency.js'
import type { WorkItem } from '../src/work-item.js'
import { buildExecutor, buildItem, buildPool, buildWorker } from './fixtures.js'

export type Step =
  | { type: 'admit', item: Partial<WorkItem> }
  | { type: 'cancel', index: number }
  | { type: 'release', index: number, isFailure: boolean }
  | { type: 'usage', index: number, cores: number }
  | { type: 'progress', target: number, progress: number }
  | { type: 'targets', mask: number }
  | { type: 'pools', variant: number }
  | { type: 'schedule', maxDecisions: number }

const itemArbitrary = fc.record({
  pool: fc.constantFrom('a', 'b', 'x'),
  urgency: fc.constantFrom(...URGENCIES),
  team: fc.constantFrom('t1', 't2', 't3'),
  kind: fc.constantFrom('k1', 'k2'),
  resources: fc.record({
    cores: fc.constantFrom(0.1, 0.5, 1, 3, 8, 16),
    memoryMb: fc.constantFrom(100, 1_000, 30_000),
    accelerators: fc.constantFrom(0, 0, 1, 4)
  }),
  taskCount: fc.constantFrom(1, 1, 1, 2, 5),
  isResumable: fc.boolean(),
  isService: fc.boolean(),
  runtimeMs: fc.constantFrom(undefined, 10, 1_000),
  excludedTargets: fc.constantFrom([], [toTargetId('w0')])
})

export const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('admit' as const), item: itemArbitrary }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('cancel' as const), index: fc.nat(200) }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('release' as const), index: fc.nat(200), isFailure: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('usage' as const), index: fc.nat(200), cores: fc.nat(20) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('progress' as const), target: fc.nat(5), progress: fc.nat(1) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('targets' as const), mask: fc.nat(63) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('pools' as const), variant: fc.nat(2) }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('schedule' as const), maxDecisions: fc.constantFrom(1, 3, 100) }) }
)

const TARGETS = [
  buildWorker('w0', { rack: 'r0' }), buildWorker('w1', { rack: 'r1' }),
  buildWorker('w2', { rack: 'r1', capacity: { cores: 32, memoryMb: 131_072, accelerators: 8 } }), buildWorker('w3', { rack: 'r2', labels: { size: 'big' } }),
  buildExecutor('e0', 3), buildExecutor('e1', 2)
]
const POOL_VARIANTS = [
  [buildPool({ name: 'a', classes: { low: { floorPercent: 10, limitPercent: 60 } } }), buildPool({ name: 'b', racks: ['r1'] }), buildPool({ name: 'x', targetKind: 'executor' })],
  [buildPool({ name: 'a', teamQuotas: { t1: 50 } }), buildPool({ name: 'b' }), buildPool({ name: 'x', targetKind: 'executor', slotsPerTarget: 1 })],
  [buildPool({ name: 'b', labels: { size: 'big' } }), buildPool({ name: 'x', targetKind: 'executor', slotsPerTarget: 2 })]
]

/** Runs random steps against a scheduler and throws at the first violated invariant. */
export class SchedulerInvariantChecker {
  readonly #scheduler = new PoolShardScheduler({ reservationDelayMs: 0 })
  readonly #used = new Map<string, { cores: number, memoryMb: number, accelerators: number, slots: number }>()
  readonly #runningTasks: Array<{ item: WorkItem, target: string, taskIndex: number }> = []
  readonly #itemStates = new Map<RequestId, string>()
  readonly decisionLog: string[] = []
  #nowMs = 0
  #admitted = 0

  constructor () {
    this.#scheduler.applyPools(POOL_VARIANTS[0] ?? [], 0)
    this.#scheduler.applyTargets(TARGETS, 0)
  }

  run (steps: readonly Step[]): void {
    for (const step of steps) {
      this.#nowMs += 50
      this.#runStep(step)
    }
  }

  /** Advances the time past all deadlines and checks that no admitted item is still queued. */
  finish (): void {
    this.#nowMs += 1_000_000
    this.#recordDecisions(this.#scheduler.schedule(this.#nowMs, 10_000))
    for (const [id, state] of this.#itemStates) if (state === 'queued') throw new Error(`${id} is still queued after its deadline`)
  }

  #runStep (step: Step): void {
    const scheduler = this.#scheduler
    if (step.type === 'admit') this.#admit(step.item)
    else if (step.type === 'schedule') this.#recordDecisions(scheduler.schedule(this.#nowMs, step.maxDecisions))
    else if (step.type === 'cancel') for (const id of scheduler.cancelQueued([toRequestId(`r${step.index}`)])) this.#recordEnd(id, 'cancelled')
    else if (step.type === 'targets') scheduler.applyTargets(TARGETS.filter((_, index) => (step.mask >> index) % 2 === 1), this.#nowMs)
    else if (step.type === 'pools') scheduler.applyPools(POOL_VARIANTS[step.variant] ?? [], this.#nowMs)
    else if (step.type === 'progress') scheduler.recordProgress(toTargetId(`e${step.target % 2}`), step.progress, 1, this.#nowMs)
    else this.#updateTask(step)
  }

  #updateTask (step: Extract<Step, { type: 'release' | 'usage' }>): void {
    const task = this.#runningTasks[step.index % Math.max(1, this.#runningTasks.length)]
    if (task === undefined) return
    const { requestId, resources } = task.item
    if (step.type === 'usage') return this.#scheduler.recordUsage(requestId, task.taskIndex, { ...resources, cores: step.cores }, this.#nowMs)
    this.#runningTasks.splice(this.#runningTasks.indexOf(task), 1)
    this.#addUse(task.item, task.target, -1)
    this.#scheduler.releaseTask(requestId, task.taskIndex, step.isFailure ? 'failed' : 'succeeded', this.#nowMs)
  }

  #admit (partial: Partial<WorkItem>): void {
    const item = buildItem(`r${this.#admitted++}`, { ...partial, enqueuedAtMs: this.#nowMs, deadlineAtMs: this.#nowMs + 2_000 })
    const { isAdmitted } = this.#scheduler.admit(item, this.#nowMs)
    if (isAdmitted) this.#itemStates.set(item.requestId, 'queued')
  }

  #recordDecisions (decisions: readonly Decision[]): void {
    for (const decision of decisions) {
      this.decisionLog.push(JSON.stringify(decision))
      if (decision.type === 'preempt') continue
      this.#recordEnd(decision.item.requestId, decision.type)
      if (decision.type === 'expire') continue
      if (decision.targets.length !== decision.item.taskCount) throw new Error('a gang was started with some of its tasks only')
      for (const [taskIndex, target] of decision.targets.entries()) {
        if (decision.item.excludedTargets.includes(target)) throw new Error('an item was started on an excluded target')
        this.#runningTasks.push({ item: decision.item, target, taskIndex })
        this.#addUse(decision.item, target, 1)
      }
    }
  }

  #recordEnd (id: RequestId, state: string): void {
    if (this.#itemStates.get(id) !== 'queued') throw new Error(`${id} left the queue twice: ${this.#itemStates.get(id)}, ${state}`)
    this.#itemStates.set(id, state)
  }

  #addUse (item: WorkItem, id: string, factor: 1 | -1): void {
    const target = TARGETS.find((candidate) => candidate.id === id)
    const used = this.#used.get(id) ?? { cores: 0, memoryMb: 0, accelerators: 0, slots: 0 }
    this.#used.set(id, used)
    if (target?.kind === 'executor') used.slots += factor
    else {
      used.cores += item.resources.cores * factor
      used.memoryMb += item.resources.memoryMb * factor
      used.accelerators += item.resources.accelerators * factor
    }
    const { capacity, slots } = target ?? buildWorker('none')
    const isWithinCapacity = used.cores <= capacity.cores + 1e-6 && used.memoryMb <= capacity.memoryMb &&
      used.accelerators <= capacity.accelerators && used.slots <= slots
    if (!isWithinCapacity) {
      throw new Error(`${id} is overcommitted: ${JSON.stringify(used)}`)
    }
  }
}
