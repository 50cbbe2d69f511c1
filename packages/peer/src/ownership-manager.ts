import type { Timer } from '@hibiscusledge/runtime/clock.js'
import { toUnitId, type UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { OwnerRegistry } from './owner-registry.js'
import { OwnerWriter } from './owner-writer.js'
import type { OwnershipDirectory, UnitOwner, UnitRole } from './ownership-directory.js'
import type { OwnershipManagerOptions } from './ownership-manager-options.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import { OwnershipReconciler } from './ownership-reconciler.js'
import { UnitLifecycle } from './unit-lifecycle.js'

const START_RETRY_DELAY_MS = 1_000

/** Acquires, serves and hands over the units of this instance, and knows the owners of all units. */
export class OwnershipManager implements OwnershipDirectory {
  readonly #options: OwnershipManagerOptions
  readonly #registry: OwnerRegistry
  readonly #lifecycles = new Map<UnitId, UnitLifecycle>()
  readonly #roles: { readonly prefix: string, readonly role: UnitRole }[] = []
  readonly #reconciler: OwnershipReconciler
  #timer: Timer | undefined
  #isStopped = false

  constructor (options: OwnershipManagerOptions) {
    this.#options = options
    this.#registry = new OwnerRegistry(options.cache, options.logger, options.self)
    const writer = new OwnerWriter(options.store, options.cache, options.clock, options.random)
    this.#reconciler = new OwnershipReconciler(options, this.#registry, writer, {
      ensureLifecycle: (unit) => this.#ensureLifecycle(unit),
      resumeUnit: (lifecycle) => this.#resumeUnit(lifecycle)
    })
    this.#registry.subscribe((unit, owner) => this.#onOwnerChange(unit, owner))
  }

  start (): void {
    this.#timer = this.#options.clock.startInterval(this.#options.timings.reconcilePeriodMs, () => this.#reconciler.reconcile())
  }

  /** Stops serving all units. Authority must have ended before. */
  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
    this.#reconciler.stop()
    for (const lifecycle of this.#lifecycles.values()) lifecycle.drop()
  }

  /** Resolves once this instance holds no unit. It must already be marked as draining, so that other instances acquire the units. */
  async drain (): Promise<void> {
    while (!this.#isStopped && this.listHeld().length > 0) {
      this.#reconciler.reconcile()
      await new Promise<void>((resolve) => { this.#options.clock.startTimer(this.#options.timings.reconcilePeriodMs / 5, resolve) })
    }
  }

  findOwner (unit: UnitId): UnitOwner | undefined {
    return this.#registry.findOwner(unit)
  }

  listUnits (): readonly UnitId[] {
    return this.#registry.listUnits()
  }

  /** Returns the units that this instance holds in any state. */
  listHeld (): UnitId[] {
    return [...this.#lifecycles.values()].filter((lifecycle) => lifecycle.isHeld()).map((lifecycle) => lifecycle.unit)
  }

  hasAuthority (unit: UnitId): boolean {
    return this.readAuthorityMs(unit) > 0
  }

  readAuthorityMs (unit: UnitId): number {
    return this.#lifecycles.get(unit)?.isAuthorized() === true ? this.#options.authority.readAuthorityMs() : 0
  }

  registerRole (prefix: string, role: UnitRole): void {
    this.#roles.push({ prefix, role })
    for (const lifecycle of this.#lifecycles.values()) {
      if (!lifecycle.unit.startsWith(prefix) || lifecycle.readRole() !== undefined) continue
      lifecycle.attachRole(role)
      const owner = lifecycle.readOwner()
      if (lifecycle.isHeld() && owner !== undefined) void this.#startUnit(lifecycle, owner)
    }
  }

  setShards (units: readonly UnitId[]): void {
    this.#registry.setShards(units.map((unit) => toUnitId(unit)))
  }

  subscribe (listener: (unit: UnitId, owner: UnitOwner | undefined) => void): void {
    this.#registry.subscribe(listener)
  }

  readRegistry (): OwnerRegistry {
    return this.#registry
  }

  #ensureLifecycle (unit: UnitId): UnitLifecycle {
    let lifecycle = this.#lifecycles.get(unit)
    if (lifecycle === undefined) {
      lifecycle = new UnitLifecycle(unit)
      this.#lifecycles.set(unit, lifecycle)
    }
    return lifecycle
  }

  // The owner record is decisive: a unit whose record names this incarnation is served, any other is dropped at once.
  #onOwnerChange (unit: UnitId, owner: UnitOwner | undefined): void {
    const { self, logger, metrics } = this.#options
    const lifecycle = this.#ensureLifecycle(unit)
    const isOwn = owner !== undefined && owner.instance === self.instance && owner.incarnation === self.incarnation
    if (lifecycle.isHeld() && (!isOwn || lifecycle.readOwner()?.epoch !== owner.epoch)) {
      lifecycle.drop()
      logger.logInfo(PEER_LOG_EVENTS.unitLost, { unit, epoch: owner?.epoch })
    }
    if (isOwn && !lifecycle.isHeld() && !this.#isStopped) {
      const role = this.#roles.find(({ prefix }) => unit.startsWith(prefix))?.role
      if (lifecycle.assign(owner, role)) void this.#startUnit(lifecycle, owner)
    }
    metrics.setGauge('peer.units.held', this.listHeld().length)
  }

  #resumeUnit (lifecycle: UnitLifecycle): void {
    const owner = lifecycle.readOwner()
    if (!lifecycle.transition('ABORT') || owner === undefined) return
    void this.#serveUnit(lifecycle, owner, async () => { await lifecycle.readRole()?.resumeUnit(lifecycle.unit, owner) })
  }

  async #startUnit (lifecycle: UnitLifecycle, owner: UnitOwner): Promise<void> {
    await this.#serveUnit(lifecycle, owner, async () => { await lifecycle.readRole()?.startUnit(lifecycle.unit, owner) })
  }

  /** Marks the unit as owned once `serve` has resolved. After a rejection the unit is started again. */
  async #serveUnit (lifecycle: UnitLifecycle, owner: UnitOwner, serve: () => Promise<void>): Promise<void> {
    const { clock, logger } = this.#options
    try {
      await serve()
      if (lifecycle.readOwner()?.epoch === owner.epoch) lifecycle.transition('STARTED')
    } catch (error) {
      logger.logError(PEER_LOG_EVENTS.unitStartFailed, { unit: lifecycle.unit, epoch: owner.epoch, error: String(error) })
      clock.startTimer(START_RETRY_DELAY_MS, () => {
        if (lifecycle.isHeld() && lifecycle.readOwner()?.epoch === owner.epoch) void this.#startUnit(lifecycle, owner)
      })
    }
  }
}
