import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { Comparison } from '@hibiscusledge/store/key-value-store.js'
import type { OwnerRegistry } from './owner-registry.js'
import type { OwnerWriteOutcome, OwnerWriter } from './owner-writer.js'
import type { OwnershipManagerOptions } from './ownership-manager-options.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import { memberRecordSchema, formatAliveKey, parseRecord, type MemberRecord } from './store-records.js'
import type { UnitLifecycleRegistry } from './unit-lifecycle-registry.js'
import type { UnitLifecycle } from './unit-lifecycle.js'

/** A unit that is not prepared within this time stays with its owner. */
const PREPARE_TIMEOUT_MS = 10_000
const WRITE_RETRY_DELAY_MS = 250

/** Instance that gets the unit, or `release` to leave it without an owner; undefined keeps it here. */
export type HandOverDestination = MemberRecord | 'release' | undefined

/** Hands units over to other instances, one unit at a time. */
export class HandOverCoordinator {
  readonly #options: OwnershipManagerOptions
  readonly #registry: OwnerRegistry
  readonly #writer: OwnerWriter
  readonly #lifecycles: UnitLifecycleRegistry
  #isRunning = false
  #isStopped = false

  constructor (options: OwnershipManagerOptions, registry: OwnerRegistry, writer: OwnerWriter, lifecycles: UnitLifecycleRegistry) {
    this.#options = options
    this.#registry = registry
    this.#writer = writer
    this.#lifecycles = lifecycles
  }

  stop (): void {
    this.#isStopped = true
  }

  /** Starts to hand over the owned units for which `choose` returns a destination, unless hand-overs are already in progress. */
  handOverUnits (choose: (unit: UnitId) => HandOverDestination): void {
    if (this.#isRunning || this.#isStopped) return
    this.#isRunning = true
    void this.#handOverAll(choose).finally(() => { this.#isRunning = false })
  }

  async #handOverAll (choose: (unit: UnitId) => HandOverDestination): Promise<void> {
    for (const unit of this.#registry.listUnits()) {
      const lifecycle = this.#lifecycles.ensureLifecycle(unit)
      const destination = lifecycle.readState() === 'owned' ? choose(unit) : undefined
      if (destination === undefined) continue
      // After a failure the next reconciliation chooses again, on the state known by then.
      if (!await this.#handOverUnit(lifecycle, destination) || this.#isStopped) return
    }
  }

  async #handOverUnit (lifecycle: UnitLifecycle, destination: MemberRecord | 'release'): Promise<boolean> {
    const { logger } = this.#options
    const { unit } = lifecycle
    const owner = lifecycle.readOwner()
    if (owner === undefined || !lifecycle.transition('HAND_OVER')) return false
    const isPrepared = await this.#prepare(lifecycle, destination)
    if (lifecycle.readOwner() !== owner) return false
    if (!isPrepared || !lifecycle.transition('TRANSFER')) {
      this.#lifecycles.resumeUnit(lifecycle)
      return false
    }
    const outcome = await this.#transfer(lifecycle, destination)
    if (lifecycle.readState() !== 'transferring') {
      logger.logInfo(PEER_LOG_EVENTS.unitHandedOver, { unit, epoch: owner.epoch + 1, successor: destination === 'release' ? '' : destination.instance })
      return outcome === 'written'
    }
    logger.logWarning(PEER_LOG_EVENTS.handOverFailed, { unit, epoch: owner.epoch })
    if (!this.#isStopped) this.#lifecycles.resumeUnit(lifecycle)
    return false
  }

  async #prepare (lifecycle: UnitLifecycle, destination: MemberRecord | 'release'): Promise<boolean> {
    const { clock, logger, self } = this.#options
    const successor = destination === 'release' ? self.instance : destination.instance
    return await new Promise<boolean>((resolve) => {
      const timer = clock.startTimer(PREPARE_TIMEOUT_MS, () => resolve(false))
      Promise.resolve(lifecycle.readRole()?.prepareHandOver(lifecycle.unit, successor)).then(() => resolve(true), (error: unknown) => {
        logger.logWarning(PEER_LOG_EVENTS.handOverFailed, { unit: lifecycle.unit, error: String(error) })
        resolve(false)
      }).finally(() => timer.cancel())
    })
  }

  /**
   * Repeats the write of the owner record until its outcome is certain. While an earlier attempt may still take effect, the
   * unit must not be served here again. A failed comparison rules that out, since the compared revisions never come back.
   */
  async #transfer (lifecycle: UnitLifecycle, destination: MemberRecord | 'release'): Promise<OwnerWriteOutcome> {
    const { clock } = this.#options
    const { unit } = lifecycle
    const record = this.#registry.readRecord(unit)
    const owner = destination === 'release' ? { instance: '' as const, incarnation: '' as const } : destination
    const comparisons = destination === 'release' ? [] : this.#compareAlive(destination)
    if (comparisons === undefined) return 'failed'
    let isEarlierWriteUncertain = false
    while (lifecycle.readState() === 'transferring' && !this.#isStopped) {
      const outcome = await this.#writer.writeOwner(unit, record, owner, comparisons)
      if (outcome === 'written' || outcome === 'refused' || (outcome === 'failed' && !isEarlierWriteUncertain)) return outcome
      isEarlierWriteUncertain = true
      await new Promise<void>((resolve) => { clock.startTimer(WRITE_RETRY_DELAY_MS, resolve) })
    }
    return 'refused'
  }

  /** Compares the successor's alive key with its current revision; undefined when the key is absent or of another incarnation. */
  #compareAlive (successor: MemberRecord): Comparison[] | undefined {
    const key = formatAliveKey(successor.instance)
    const stored = this.#options.cache.find(key)
    const record = stored === undefined ? undefined : parseRecord(memberRecordSchema, stored.value)
    if (stored === undefined || record?.incarnation !== successor.incarnation) return undefined
    return [{ key, modRevision: stored.modRevision }]
  }
}
