import type { OwnershipDirectory, UnitOwner, UnitRole } from '@hibiscusledge/peer/ownership-directory.js'
import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import type { RequestId, UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { WaitExplanation } from '@hibiscusledge/scheduling/shard-scheduler.js'
import type { DispatchContext } from './dispatch-context.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'
import {
  attemptResultSchema, DISPATCH_MESSAGE_KINDS, explanationReplySchema, recordIntentSchema, requestQuerySchema, submitSchema
} from './dispatch-messages.js'
import { PartitionCoordinator } from './partition-coordinator.js'
import { registerValidatedHandler, sendValidatedRequest } from './validated-messages.js'
import { findPartition, PARTITION_PREFIX } from './request-id.js'

const EXPLAIN_TIMEOUT_MS = 1000

/** Coordinates the requests of the ledger partitions that this instance owns. */
export class CoordinatorRole implements UnitRole {
  readonly #context: DispatchContext
  readonly #partitions = new Map<UnitId, PartitionCoordinator>()

  constructor (context: DispatchContext) {
    this.#context = context
    this.#registerHandlers()
    context.ownership.registerRole(PARTITION_PREFIX, this)
    context.ownership.subscribe((unit, owner) => { this.#applyOwnerChange(unit, owner) })
  }

  async startUnit (unit: UnitId, owner: UnitOwner): Promise<void> {
    this.#partitions.get(unit)?.stop()
    const partition = new PartitionCoordinator(this.#context, unit, owner, () => { this.stopUnit(unit) })
    this.#partitions.set(unit, partition)
    await partition.start()
    this.#context.logger.logInfo(DISPATCH_EVENTS.partitionStarted, { unit, epoch: owner.epoch, active: partition.countActive() })
  }

  async prepareHandOver (unit: UnitId): Promise<void> {
    await this.#partitions.get(unit)?.prepareHandOver()
  }

  /**
   * Goes on with the same coordinator. A new one would number its attempts from the start of the same epoch again, and its
   * ledger would write the same segments as commits of the former one that are still open.
   */
  async resumeUnit (unit: UnitId, owner: UnitOwner): Promise<void> {
    const partition = this.#partitions.get(unit)
    if (partition === undefined) await this.startUnit(unit, owner)
    else partition.resume()
  }

  stopUnit (unit: UnitId): void {
    const partition = this.#partitions.get(unit)
    if (partition === undefined) return
    this.#partitions.delete(unit)
    partition.stop()
    this.#context.logger.logInfo(DISPATCH_EVENTS.partitionStopped, { unit })
  }

  countActive (): number {
    let count = 0
    for (const partition of this.#partitions.values()) count += partition.countActive()
    return count
  }

  #registerHandlers (): void {
    const { network, logger } = this.#context
    registerValidatedHandler(network, logger, PEER_MESSAGE_KINDS.submit, submitSchema, async (message, from, trace) =>
      await this.#findCoordinator(message.facts.requestId)?.submit(message, from.instance, trace) ?? { type: 'notOwner' })
    registerValidatedHandler(network, logger, PEER_MESSAGE_KINDS.lookup, requestQuerySchema, async (message) =>
      this.#findCoordinator(message.requestId)?.lookup(message.requestId) ?? { type: 'notOwner' })
    registerValidatedHandler(network, logger, PEER_MESSAGE_KINDS.cancel, requestQuerySchema, async (message) =>
      await this.#findCoordinator(message.requestId)?.cancel(message.requestId) ?? { type: 'notOwner' })
    registerValidatedHandler(network, logger, PEER_MESSAGE_KINDS.recordIntent, recordIntentSchema, async (message) =>
      await this.#findCoordinator(message.requestId)?.recordIntent(message) ?? { isGranted: false, reason: 'not the home of the request' })
    registerValidatedHandler(network, logger, PEER_MESSAGE_KINDS.attemptResult, attemptResultSchema, async (message) =>
      ({ isRecorded: await this.#findCoordinator(message.requestId)?.applyResult(message) ?? false }))
    registerValidatedHandler(network, logger, DISPATCH_MESSAGE_KINDS.explainRequest, requestQuerySchema, async (message) =>
      ({ explanation: await this.#explainRequest(message.requestId) }))
  }

  async #explainRequest (requestId: RequestId): Promise<WaitExplanation | undefined> {
    const assignment = this.#findCoordinator(requestId)?.findAssignment(requestId)
    const owner = assignment === undefined ? undefined : this.#context.ownership.findOwner(assignment.unit)
    if (assignment === undefined || owner === undefined) return undefined
    const reply = await sendValidatedRequest(
      this.#context.network, owner.instance, DISPATCH_MESSAGE_KINDS.explain, { unit: assignment.unit, requestId },
      explanationReplySchema, EXPLAIN_TIMEOUT_MS
    )
    return reply.ok ? reply.val.explanation : undefined
  }

  #findCoordinator (requestId: RequestId): PartitionCoordinator | undefined {
    const unit = findPartition(requestId)
    return unit === undefined ? undefined : this.#partitions.get(unit)
  }

  #applyOwnerChange (unit: UnitId, owner: UnitOwner | undefined): void {
    if (unit.startsWith(PARTITION_PREFIX)) return
    for (const partition of this.#partitions.values()) partition.applyOwnerChange(unit, owner)
  }
}

/** Lists the ledger partitions, sorted: the hash of an idempotency key is an index into this list. */
export function listPartitions (ownership: OwnershipDirectory): UnitId[] {
  return ownership.listUnits().filter((unit) => unit.startsWith(PARTITION_PREFIX)).sort()
}
