import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { Comparison } from '@hibiscusledge/store/key-value-store.js'
import { HandOver } from './hand-over.js'
import type { OwnerRegistry } from './owner-registry.js'
import type { OwnerWriter } from './owner-writer.js'
import type { UnitOwner } from './ownership-directory.js'
import type { OwnershipManagerOptions } from './ownership-manager-options.js'
import { AbsenceTracker, chooseSuccessor, isTurn, rankOwners, rankSuccessors } from './ownership-planner.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import {
  formatAliveKey, formatMemberKey, formatViewKey, LAYOUT_KEY, parseRecord, viewSchema, type AliveRecord
} from './store-records.js'
import { computeStanding, decideTakeover } from './takeover-rule.js'
import type { UnitHost } from './unit-host.js'
import { ViewCollector } from './view-collector.js'
import type { RegistrationState } from './view-keeper.js'

const PARTITION_COUNT = 16
/** Units are taken with a view of only this instance no sooner than this after a change of the membership, if others are alive. */
const LONE_VIEW_WAIT_MS = 3_000

/** One step towards the desired owners: takes free units, takes over from dead owners, hands over. */
export class ReconcileStep {
  readonly #options: OwnershipManagerOptions
  readonly #registry: OwnerRegistry
  readonly #writer: OwnerWriter
  readonly #host: UnitHost
  readonly #handOver: HandOver
  readonly #collector: ViewCollector
  readonly #absences = new AbsenceTracker()
  readonly #freeSinceMs = new Map<UnitId, number>()
  #membership = ''
  #changedMs = Number.NEGATIVE_INFINITY
  #isLayoutPending = false

  constructor (options: OwnershipManagerOptions, registry: OwnerRegistry, writer: OwnerWriter, host: UnitHost) {
    this.#options = options
    this.#registry = registry
    this.#writer = writer
    this.#host = host
    this.#collector = new ViewCollector(options.store, options.cache, options.clock, options.self.instance)
    this.#handOver = new HandOver(options, registry, writer, host)
  }

  stop (): void {
    this.#handOver.stop()
  }

  run (): void {
    const { membership, cache, clock, timings } = this.#options
    const registration = membership.readRegistration()
    const nowMs = clock.readMonotonicMs()
    const alive = membership.listAlive()
    this.#observeMembership(alive, nowMs)
    // Absence is judged, and owners denied, only on what the store said just now: during an outage nothing is known.
    const isFresh = cache.isComplete() && nowMs - cache.readLastContactMs() < 1.5 * timings.renewalPeriodMs
    if (registration === undefined || !isFresh || !alive.some((record) => record.incarnation === this.#options.self.incarnation)) return
    if (this.#registry.readPartitionCount() === 0) {
      void this.#createLayout()
      return
    }
    const owners = new Set<string>()
    for (const unit of this.#registry.listUnits()) {
      const owner = this.#registry.findOwner(unit)
      if (owner === undefined) this.#reconcileFree(unit, alive, registration, nowMs)
      else if (!this.#isOwn(owner)) this.#reconcileForeign(unit, owner, alive, registration, nowMs)
      if (owner !== undefined) {
        owners.add(formatMemberKey(owner))
        this.#freeSinceMs.delete(unit)
      }
    }
    this.#absences.retain(owners)
    this.#collector.run(alive, owners)
    if (this.#isSettled(nowMs)) this.#reconcileHeld(alive)
  }

  #reconcileFree (unit: UnitId, alive: readonly AliveRecord[], registration: RegistrationState, nowMs: number): void {
    const { self, timings, membership } = this.#options
    const sinceMs = this.#freeSinceMs.get(unit) ?? nowMs
    this.#freeSinceMs.set(unit, sinceMs)
    if (membership.isDraining() && alive.length > 1) return
    const rank = rankOwners(unit, alive).indexOf(self.instance)
    if (!this.#isSettled(nowMs) || !this.#isViewReady(alive, nowMs) || !isTurn(rank, nowMs - sinceMs, timings)) return
    void this.#takeUnit(unit, registration, [], PEER_LOG_EVENTS.unitAcquired)
  }

  #reconcileForeign (
    unit: UnitId, owner: UnitOwner, alive: readonly AliveRecord[], registration: RegistrationState, nowMs: number
  ): void {
    const { cache, self, promises, timings, logger, readListeningSinceMs } = this.#options
    const viewKey = formatViewKey(owner.instance, owner.incarnation)
    const storedView = cache.find(viewKey)
    const view = storedView === undefined ? undefined : parseRecord(viewSchema, storedView.value)
    const viewRevision = storedView?.modRevision ?? 0
    const isAlive = alive.some((record) => record.instance === owner.instance && record.incarnation === owner.incarnation)
    const absentSinceMs = this.#absences.observe(owner, isAlive, viewRevision, nowMs)
    if (absentSinceMs === undefined) return
    const ownerKey = formatMemberKey(owner)
    const listeningSinceMs = readListeningSinceMs()
    const decision = decideTakeover({
      nowMs,
      standing: computeStanding(self, listeningSinceMs !== undefined, owner.instance, view),
      absentSinceMs,
      isDenied: view !== undefined && promises.isDenied(ownerKey, view.registration),
      lastPromiseMs: promises.readLastPromiseMs(ownerKey),
      listeningSinceMs: listeningSinceMs ?? nowMs
    }, timings)
    if (decision === 'deny' && view !== undefined) {
      promises.deny(ownerKey, view.registration)
      logger.logWarning(PEER_LOG_EVENTS.ownerDenied, { owner: ownerKey, registration: view.registration })
    }
    const rank = rankSuccessors(unit, owner.instance, view, alive).indexOf(self.instance)
    const waitedMs = nowMs - absentSinceMs - timings.absenceMs
    if (decision !== 'take' || !(rank === 0 || isTurn(rank, waitedMs, timings)) || !this.#isViewReady(alive, nowMs)) return
    void this.#takeUnit(unit, registration, [
      { key: formatAliveKey(owner.instance), modRevision: cache.find(formatAliveKey(owner.instance))?.modRevision ?? 0 },
      { key: viewKey, modRevision: viewRevision }
    ], PEER_LOG_EVENTS.unitTakenOver)
  }

  #reconcileHeld (alive: readonly AliveRecord[]): void {
    const { self, network, cache } = this.#options
    const connected = new Set(network.listConnected().map(formatMemberKey))
    const isReady = (record: AliveRecord): boolean =>
      connected.has(formatMemberKey(record)) && cache.find(formatViewKey(record.instance, record.incarnation)) !== undefined
    this.#handOver.run((unit) => {
      const successor = chooseSuccessor(unit, self.instance, alive, isReady)
      if (successor !== undefined) return successor
      const isLast = this.#options.membership.isDraining() && alive.length <= 1
      return isLast ? 'release' : undefined
    })
  }

  /** The own alive key is compared as well: a write that arrives late, after this registration, must not take a unit. */
  async #takeUnit (unit: UnitId, registration: RegistrationState, comparisons: readonly Comparison[], event: string): Promise<void> {
    const { self, logger, metrics } = this.#options
    const lifecycle = this.#host.ensureLifecycle(unit)
    if (!lifecycle.transition('ACQUIRE')) return
    const record = this.#registry.readRecord(unit)
    const own = { key: formatAliveKey(self.instance), modRevision: registration.aliveRevision }
    const outcome = await this.#writer.writeOwner(unit, record, self, [own, ...comparisons])
    if (outcome === 'written') {
      metrics.incrementCounter(event)
      logger.logInfo(event, { unit, epoch: record.epoch + 1 })
    }
    lifecycle.transition('FAIL')
  }

  async #createLayout (): Promise<void> {
    const { store, cache, random } = this.#options
    if (this.#isLayoutPending) return
    this.#isLayoutPending = true
    // Whoever loses the race reads the winner's layout; a lost reply is settled by the same listing.
    await store.commitTransaction({
      comparisons: [{ key: LAYOUT_KEY, modRevision: 0 }],
      mutations: [{ type: 'put', key: LAYOUT_KEY, value: JSON.stringify({ partitions: PARTITION_COUNT, nonce: random.drawHex(8) }) }]
    }, 'critical')
    await cache.refreshPrefix(LAYOUT_KEY)
    this.#isLayoutPending = false
  }

  #observeMembership (alive: readonly AliveRecord[], nowMs: number): void {
    const membership = alive.map((record) => `${formatMemberKey(record)} ${record.isDraining}`).sort().join()
    if (membership === this.#membership) return
    this.#membership = membership
    this.#changedMs = nowMs
  }

  #isSettled (nowMs: number): boolean {
    return nowMs - this.#changedMs >= this.#options.timings.settleMs
  }

  /** An owner that no other instance may succeed soon should not take units while others are there. */
  #isViewReady (alive: readonly AliveRecord[], nowMs: number): boolean {
    return alive.length <= 1 || this.#options.views.listConfirmed().length > 1 || nowMs - this.#changedMs >= LONE_VIEW_WAIT_MS
  }

  #isOwn (owner: UnitOwner): boolean {
    const { self } = this.#options
    return owner.instance === self.instance && owner.incarnation === self.incarnation
  }
}
