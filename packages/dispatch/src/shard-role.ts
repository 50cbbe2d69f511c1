import type { UnitOwner, UnitRole } from '@hibiscusledge/peer/ownership-directory.js'
import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import type { ListedTarget } from '@hibiscusledge/store/target-list.js'
import { toFailureDomain, toTargetId, toUnitId, type InstanceId, type UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { ShardScheduler } from '@hibiscusledge/scheduling/shard-scheduler.js'
import { TARGET_KINDS, type Target, type TargetKind } from '@hibiscusledge/scheduling/target.js'
import { AttemptReporter } from './attempt-reporter.js'
import type { DispatchContext } from './dispatch-context.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'
import {
  DISPATCH_MESSAGE_KINDS, enqueueSchema, explainSchema, handOverSchema, withdrawSchema, type HandOverMessage
} from './dispatch-messages.js'
import { ExecutorClient } from './executor-client.js'
import { listPartitions } from './coordinator-role.js'
import { registerValidatedHandler } from './validated-messages.js'
import { ShardRunner } from './shard-runner.js'
import type { TargetClient } from './target-client.js'
import { WorkerClient } from './worker-client.js'

/** Limit of buffered hand-over messages per unit that has not started here yet. */
const BUFFERED_HAND_OVERS_MAX = 100

export type SchedulerFactory = (unit: UnitId) => ShardScheduler

/** Serves the shards of targets that this instance owns. */
export class ShardRole implements UnitRole {
  readonly #context: DispatchContext
  readonly #createScheduler: SchedulerFactory
  readonly #reporter: AttemptReporter
  readonly #clients: Record<TargetKind, TargetClient>
  readonly #runners = new Map<UnitId, ShardRunner>()
  readonly #targetsByUnit = new Map<UnitId, Target[]>()
  readonly #bufferedHandOvers = new Map<UnitId, HandOverMessage[]>()
  /** Runners of units that this instance no longer owns, while they still report the ends of attempts. */
  readonly #draining = new Set<ShardRunner>()

  constructor (context: DispatchContext, createScheduler: SchedulerFactory, clients?: Record<TargetKind, TargetClient>) {
    this.#context = context
    this.#createScheduler = createScheduler
    this.#reporter = new AttemptReporter(context)
    this.#clients = clients ?? this.#createClients()
    this.#registerHandlers()
    for (const kind of Object.values(TARGET_KINDS)) context.ownership.registerRole(`${kind}/`, this)
    context.loads.setLocalLoadProvider(() => [...this.#runners.values()].map((runner) => runner.buildLoad()))
    context.tables.subscribe((tables) => { for (const runner of this.#runners.values()) runner.applyPools(tables.pools) })
  }

  /** Applies a new version of the platform's instance list. */
  applyTargets (listed: readonly ListedTarget[]): void {
    this.#targetsByUnit.clear()
    for (const entry of listed) {
      const target = convertTarget(entry)
      const unit = toUnitId(`${target.kind}/${target.failureDomain}`)
      const targets = this.#targetsByUnit.get(unit) ?? []
      targets.push(target)
      this.#targetsByUnit.set(unit, targets)
    }
    this.#context.ownership.setShards([...this.#targetsByUnit.keys()])
    for (const [unit, runner] of this.#runners) runner.applyTargets(this.#targetsByUnit.get(unit) ?? [])
  }

  async startUnit (unit: UnitId, owner: UnitOwner): Promise<void> {
    this.stopUnit(unit)
    const runner = new ShardRunner({
      context: this.#context,
      unit,
      owner,
      scheduler: this.#createScheduler(unit),
      client: this.#clients[unit.startsWith(`${TARGET_KINDS.worker}/`) ? 'worker' : 'executor'],
      reporter: this.#reporter
    })
    this.#runners.set(unit, runner)
    runner.applyPools(this.#context.tables.readCurrent()?.pools ?? [])
    runner.applyTargets(this.#targetsByUnit.get(unit) ?? [])
    for (const message of this.#bufferedHandOvers.get(unit) ?? []) runner.applyHandOver(message)
    this.#bufferedHandOvers.delete(unit)
    await runner.start(listPartitions(this.#context.ownership))
    this.#context.logger.logInfo(DISPATCH_EVENTS.shardStarted, { unit, epoch: owner.epoch })
  }

  async prepareHandOver (unit: UnitId, successor: InstanceId): Promise<void> {
    await this.#runners.get(unit)?.prepareHandOver(successor)
  }

  /** Starts the shard anew, as its queue has been returned to the coordinators. The former runner reports what it has sent. */
  async resumeUnit (unit: UnitId, owner: UnitOwner): Promise<void> {
    await this.startUnit(unit, owner)
  }

  stopUnit (unit: UnitId): void {
    const runner = this.#runners.get(unit)
    if (runner === undefined) return
    this.#runners.delete(unit)
    runner.stop()
    this.#dropFinishedRunners()
    this.#draining.add(runner)
    this.#context.logger.logInfo(DISPATCH_EVENTS.shardStopped, { unit })
  }

  /** Counts the attempts whose ends this instance still has to report. A planned stop waits for them. */
  countUnfinished (): number {
    this.#dropFinishedRunners()
    let count = this.#reporter.countPending()
    for (const runner of this.#draining) count += runner.countSent()
    return count
  }

  async close (): Promise<void> {
    for (const unit of [...this.#runners.keys()]) this.stopUnit(unit)
    await Promise.all(Object.values(this.#clients).map((client) => client.close()))
  }

  #createClients (): Record<TargetKind, TargetClient> {
    const { clock, network } = this.#context
    return {
      executor: new ExecutorClient(clock, `/hibiscusledge/${network.self.instance}`),
      worker: new WorkerClient(clock, (requestId, taskIndex, usage) => {
        for (const runner of this.#runners.values()) runner.recordUsage(requestId, taskIndex, usage)
      })
    }
  }

  #dropFinishedRunners (): void {
    for (const runner of this.#draining) if (runner.countSent() === 0) this.#draining.delete(runner)
  }

  #registerHandlers (): void {
    const { network, logger } = this.#context
    registerValidatedHandler(network, logger, PEER_MESSAGE_KINDS.enqueue, enqueueSchema, async (message, _from, trace) =>
      this.#runners.get(message.unit)?.enqueue(message, trace) ?? { type: 'notOwner' })
    registerValidatedHandler(network, logger, PEER_MESSAGE_KINDS.withdraw, withdrawSchema, async (message) =>
      ({ state: this.#withdraw(message) }))
    registerValidatedHandler(network, logger, DISPATCH_MESSAGE_KINDS.explain, explainSchema, async (message) =>
      ({ explanation: this.#runners.get(message.unit)?.explainWait(message.requestId) }))
    registerValidatedHandler(network, logger, PEER_MESSAGE_KINDS.handOver, handOverSchema, async (message) => {
      this.#applyHandOver(message)
    })
  }

  #withdraw (message: Parameters<ShardRunner['withdraw']>[0]): ReturnType<ShardRunner['withdraw']> | 'notOwner' {
    const runners = [this.#runners.get(message.unit), ...this.#draining].filter((runner) => runner !== undefined)
    const states = runners.map((runner) => runner.withdraw(message))
    return states.find((state) => state !== 'absent') ?? (states.length === 0 ? 'notOwner' : 'absent')
  }

  #applyHandOver (message: HandOverMessage): void {
    const runner = this.#runners.get(message.unit)
    if (runner !== undefined) {
      runner.applyHandOver(message)
      return
    }
    const buffered = this.#bufferedHandOvers.get(message.unit) ?? []
    if (buffered.length < BUFFERED_HAND_OVERS_MAX) buffered.push(message)
    this.#bufferedHandOvers.set(message.unit, buffered)
  }
}

function convertTarget (entry: ListedTarget): Target {
  return {
    id: toTargetId(entry.id),
    kind: entry.kind,
    address: entry.address,
    state: entry.state,
    failureDomain: toFailureDomain(entry.failureDomain),
    rack: entry.rack,
    labels: entry.labels,
    capacity: { cores: entry.cores, memoryMb: entry.memoryMb, accelerators: entry.accelerators },
    slots: entry.slots,
    connections: entry.connections
  }
}
