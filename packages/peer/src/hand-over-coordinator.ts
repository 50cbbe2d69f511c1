import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { Comparison } from '@hibiscusledge/store/key-value-store.js'
import type { OwnerRegistry } from './owner-registry.js'
import type { OwnerWriteOutcome, OwnerWriter } from './owner-writer.js'
import type { OwnershipManagerOptions } from './ownership-manager-options.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import { aliveSchema, formatAliveKey, parseRecord, type AliveRecord } from './store-records.js'
import type { UnitLifecycleRegistry } from './unit-lifecycle-registry.js'
import type { UnitLifecycle } from './unit-lifecycle.js'

/** A unit that can't be prepared within this time stays with its owner. */
const PREPARE_TIMEOUT_MS = 10_000
const WRITE_RETRY_DELAY_MS = 250

export type HandOverDestination = AliveRecord | 'release' | undefined

/** Hands units over, one at a time. */
export class HandOverCoordinator {
  readonly #options: OwnershipManagerOptions
  readonly #registry: OwnerRegistry
  readonly #writer: OwnerWriter
  readonly #lifecycles: UnitLifecycleRegistry
  #isRunning = false
  #isStopped = false

  constructor (options: OwnershipManagerOptions, registry: OwnerRegistry, writer: OwnerWriter, host: UnitLifecycleRegistry) {
    this.#options = options
    this.#registry = registry
    this.#writer = writer
    this.#lifecycles = host
  }

  stop (): void {
    this.#isStopped = true
  }

  /** Hands over the owned units for which `choose` names a target, unless a hand-over is under way. */
  handOverUnits (choose: (unit: UnitId) => HandOverDestination): void {
    if (this.#isRunning || this.#isStopped) return
    this.#isRunning = true
    void this.#handOverAll(choose).finally(() => { this.#isRunning = false })
  }

  async #handOverAll (choose: (unit: UnitId) => HandOverDestination): Promise<void> {
    for (const unit of this.#registry.listUnits()) {
      const lifecycle = this.#lifecycles.ensureLifecycle(unit)
      const target = lifecycle.readState() === 'owned' ? choose(unit) : undefined
      if (target === undefined) continue
      // After a failure the next step decides anew, on what is known by then.
      if (!await this.#handOverUnit(lifecycle, target) || this.#isStopped) return
    }
  }

  async #handOverUnit (lifecycle: UnitLifecycle, target: AliveRecord | 'release'): Promise<boolean> {
    const { logger } = this.#options
    const { unit } = lifecycle
    const owner = lifecycle.readOwner()
    if (owner === undefined || !lifecycle.transition('HAND_OVER')) return false
    const isPrepared = await this.#prepare(lifecycle, target)
    if (lifecycle.readOwner() !== owner) return false
    if (!isPrepared || !lifecycle.transition('TRANSFER')) {
      this.#lifecycles.restartUnit(lifecycle)
      return false
    }
    const outcome = await this.#transfer(lifecycle, target)
    if (lifecycle.readState() !== 'transferring') {
      logger.logInfo(PEER_LOG_EVENTS.unitHandedOver, { unit, epoch: owner.epoch + 1, successor: target === 'release' ? '' : target.instance })
      return outcome === 'written'
    }
    logger.logWarning(PEER_LOG_EVENTS.handOverFailed, { unit, epoch: owner.epoch })
    if (!this.#isStopped) this.#lifecycles.restartUnit(lifecycle)
    return false
  }

  async #prepare (lifecycle: UnitLifecycle, target: AliveRecord | 'release'): Promise<boolean> {
    const { clock, logger, self } = this.#options
    const successor = target === 'release' ? self.instance : target.instance
    return await new Promise<boolean>((resolve) => {
      const timer = clock.startTimer(PREPARE_TIMEOUT_MS, () => resolve(false))
      Promise.resolve(lifecycle.readRole()?.prepareHandOver(lifecycle.unit, successor)).then(() => resolve(true), (error: unknown) => {
        logger.logWarning(PEER_LOG_EVENTS.handOverFailed, { unit: lifecycle.unit, error: String(error) })
        resolve(false)
      }).finally(() => timer.cancel())
    })
  }

  /**
   * Writes the record until the store has answered for certain. While an earlier attempt may still take effect the unit
   * must not be served again; a refusal excludes that, as revisions of the compared keys do not come back.
   */
  async #transfer (lifecycle: UnitLifecycle, target: AliveRecord | 'release'): Promise<OwnerWriteOutcome> {
    const { clock } = this.#options
    const { unit } = lifecycle
    const record = this.#registry.readRecord(unit)
    const owner = target === 'release' ? { instance: '' as const, incarnation: '' as const } : target
    const comparisons = target === 'release' ? [] : this.#compareAlive(target)
    if (comparisons === undefined) return 'failed'
    let isUncertain = false
    while (lifecycle.readState() === 'transferring' && !this.#isStopped) {
      const outcome = await this.#writer.writeOwner(unit, record, owner, comparisons)
      if (outcome === 'written' || outcome === 'refused' || (outcome === 'failed' && !isUncertain)) return outcome
      isUncertain = true
      await new Promise<void>((resolve) => { clock.startTimer(WRITE_RETRY_DELAY_MS, resolve) })
    }
    return 'refused'
  }

  /** The successor's alive key must be the one seen now; undefined when it is gone or belongs to another incarnation. */
  #compareAlive (target: AliveRecord): Comparison[] | undefined {
    const key = formatAliveKey(target.instance)
    const stored = this.#options.cache.find(key)
    const record = stored === undefined ? undefined : parseRecord(aliveSchema, stored.value)
    if (stored === undefined || record?.incarnation !== target.incarnation) return undefined
    return [{ key, modRevision: stored.modRevision }]
  }
}
