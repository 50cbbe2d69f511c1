import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { Comparison } from '@hibiscusledge/store/key-value-store.js'
import { HandOverCoordinator } from './hand-over-coordinator.js'
import type { OwnerRegistry } from './owner-registry.js'
import type { OwnerWriter } from './owner-writer.js'
import type { UnitOwner } from './ownership-directory.js'
import type { OwnershipManagerOptions } from './ownership-manager-options.js'
import { AbsenceTracker, chooseSuccessor, hasRankDelayPassed, rankOwners, rankSuccessors } from './ownership-planner.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import {
  formatAliveKey, formatMemberKey, formatViewKey, LAYOUT_KEY, parseRecord, viewSchema, type MemberRecord
} from './store-records.js'
import { computeOwnerRelation, decideTakeover } from './takeover-decision.js'
import type { UnitLifecycleRegistry } from './unit-lifecycle-registry.js'
import { ViewGarbageCollector } from './view-garbage-collector.js'
import type { RegistrationState } from './view-manager.js'

const PARTITION_COUNT = 16
/** While others are alive, an instance whose view has no other member acquires units only this long after a membership change. */
const SINGLE_MEMBER_VIEW_DELAY_MS = 3_000

/** Moves units towards their desired owners: acquires unowned units, takes over from owners that have ended, and hands units over. */
export class OwnershipReconciler {
  readonly #options: OwnershipManagerOptions
  readonly #registry: OwnerRegistry
  readonly #writer: OwnerWriter
  readonly #lifecycles: UnitLifecycleRegistry
  readonly #handOver: HandOverCoordinator
  readonly #viewGarbageCollector: ViewGarbageCollector
  readonly #absences = new AbsenceTracker()
  readonly #unownedSinceMs = new Map<UnitId, number>()
  #membershipFingerprint = ''
  #stableSinceMs = Number.NEGATIVE_INFINITY
  #isCreatingLayout = false

  constructor (options: OwnershipManagerOptions, registry: OwnerRegistry, writer: OwnerWriter, lifecycles: UnitLifecycleRegistry) {
    this.#options = options
    this.#registry = registry
    this.#writer = writer
    this.#lifecycles = lifecycles
    this.#viewGarbageCollector = new ViewGarbageCollector(options.store, options.cache, options.clock, options.self.instance)
    this.#handOver = new HandOverCoordinator(options, registry, writer, lifecycles)
  }

  stop (): void {
    this.#handOver.stop()
  }

  /** Runs one pass over all units. Does nothing without a registration or while the local copy of the store is outdated. */
  reconcile (): void {
    const { membershipManager, cache, clock, timings } = this.#options
    const registration = membershipManager.readRegistration()
    const nowMs = clock.readMonotonicMs()
    const members = membershipManager.listMemberRecords()
    this.#observeMembership(members, nowMs)
    // Owners are considered absent, and denied, only on recent data from the store: during an outage their state is unknown.
    const isFresh = cache.isComplete() && nowMs - cache.readLastContactMs() < 1.5 * timings.renewalPeriodMs
    if (registration === undefined || !isFresh || !members.some((record) => record.incarnation === this.#options.self.incarnation)) return
    if (this.#registry.readPartitionCount() === 0) {
      void this.#createLayout()
      return
    }
    const owners = new Set<string>()
    for (const unit of this.#registry.listUnits()) {
      const owner = this.#registry.findOwner(unit)
      if (owner === undefined) this.#reconcileUnowned(unit, members, registration, nowMs)
      else if (!this.#isOwn(owner)) this.#reconcileOtherOwner(unit, owner, members, registration, nowMs)
      if (owner !== undefined) {
        owners.add(formatMemberKey(owner))
        this.#unownedSinceMs.delete(unit)
      }
    }
    this.#absences.retain(owners)
    this.#viewGarbageCollector.deleteExpiredView(members, owners)
    if (this.#isMembershipStable(nowMs)) this.#reconcileHeld(members)
  }

  #reconcileUnowned (unit: UnitId, members: readonly MemberRecord[], registration: RegistrationState, nowMs: number): void {
    const { self, timings, membershipManager } = this.#options
    const sinceMs = this.#unownedSinceMs.get(unit) ?? nowMs
    this.#unownedSinceMs.set(unit, sinceMs)
    if (membershipManager.isDraining() && members.length > 1) return
    const rank = rankOwners(unit, members).indexOf(self.instance)
    if (
      !this.#isMembershipStable(nowMs) || !this.#isViewReady(members, nowMs) || !hasRankDelayPassed(rank, nowMs - sinceMs, timings)
    ) return
    void this.#acquireUnit(unit, registration, [], PEER_LOG_EVENTS.unitAcquired)
  }

  #reconcileOtherOwner (
    unit: UnitId, owner: UnitOwner, members: readonly MemberRecord[], registration: RegistrationState, nowMs: number
  ): void {
    const { cache, self, promises, timings, logger, readListeningSinceMs } = this.#options
    const viewKey = formatViewKey(owner.instance, owner.incarnation)
    const storedView = cache.find(viewKey)
    const view = storedView === undefined ? undefined : parseRecord(viewSchema, storedView.value)
    const viewRevision = storedView?.modRevision ?? 0
    const isAlive = members.some((record) => record.instance === owner.instance && record.incarnation === owner.incarnation)
    const absentSinceMs = this.#absences.observe(owner, isAlive, viewRevision, nowMs)
    if (absentSinceMs === undefined) return
    const ownerKey = formatMemberKey(owner)
    const listeningSinceMs = readListeningSinceMs()
    const decision = decideTakeover({
      nowMs,
      relation: computeOwnerRelation(self, listeningSinceMs !== undefined, owner.instance, view),
      absentSinceMs,
      isDenied: view !== undefined && promises.isDenied(ownerKey, view.registration),
      lastPromiseMs: promises.readLastPromiseMs(ownerKey),
      listeningSinceMs: listeningSinceMs ?? nowMs
    }, timings)
    if (decision === 'deny' && view !== undefined) {
      promises.deny(ownerKey, view.registration)
      logger.logWarning(PEER_LOG_EVENTS.ownerDenied, { owner: ownerKey, registration: view.registration })
    }
    const rank = rankSuccessors(unit, owner.instance, view, members).indexOf(self.instance)
    const waitedMs = nowMs - absentSinceMs - timings.absenceThresholdMs
    if (decision !== 'take' || !(rank === 0 || hasRankDelayPassed(rank, waitedMs, timings)) || !this.#isViewReady(members, nowMs)) return
    void this.#acquireUnit(unit, registration, [
      { key: formatAliveKey(owner.instance), modRevision: cache.find(formatAliveKey(owner.instance))?.modRevision ?? 0 },
      { key: viewKey, modRevision: viewRevision }
    ], PEER_LOG_EVENTS.unitTakenOver)
  }

  #reconcileHeld (members: readonly MemberRecord[]): void {
    const { self, network, cache } = this.#options
    const connected = new Set(network.listConnected().map(formatMemberKey))
    const isReady = (record: MemberRecord): boolean =>
      connected.has(formatMemberKey(record)) && cache.find(formatViewKey(record.instance, record.incarnation)) !== undefined
    this.#handOver.handOverUnits((unit) => {
      const successor = chooseSuccessor(unit, self.instance, members, isReady)
      if (successor !== undefined) return successor
      const isLast = this.#options.membershipManager.isDraining() && members.length <= 1
      return isLast ? 'release' : undefined
    })
  }

  /** Compares the own alive key as well: a write that takes effect late, after this registration has ended, must not acquire a unit. */
  async #acquireUnit (unit: UnitId, registration: RegistrationState, comparisons: readonly Comparison[], event: string): Promise<void> {
    const { self, logger, metrics } = this.#options
    const lifecycle = this.#lifecycles.ensureLifecycle(unit)
    if (!lifecycle.transition('ACQUIRE')) return
    const record = this.#registry.readRecord(unit)
    const ownAliveKey = { key: formatAliveKey(self.instance), modRevision: registration.aliveRevision }
    const outcome = await this.#writer.writeOwner(unit, record, self, [ownAliveKey, ...comparisons])
    if (outcome === 'written') {
      metrics.incrementCounter(event)
      logger.logInfo(event, { unit, epoch: record.epoch + 1 })
    }
    lifecycle.transition('FAIL')
  }

  async #createLayout (): Promise<void> {
    const { store, cache, random } = this.#options
    if (this.#isCreatingLayout) return
    this.#isCreatingLayout = true
    // The listing returns the layout of whichever instance wrote it first, also if the response to this write was lost.
    await store.commitTransaction({
      comparisons: [{ key: LAYOUT_KEY, modRevision: 0 }],
      mutations: [{ type: 'put', key: LAYOUT_KEY, value: JSON.stringify({ partitions: PARTITION_COUNT, nonce: random.drawHex(8) }) }]
    }, 'critical')
    await cache.refreshPrefix(LAYOUT_KEY)
    this.#isCreatingLayout = false
  }

  #observeMembership (members: readonly MemberRecord[], nowMs: number): void {
    const fingerprint = members.map((record) => `${formatMemberKey(record)} ${record.isDraining}`).sort().join()
    if (fingerprint === this.#membershipFingerprint) return
    this.#membershipFingerprint = fingerprint
    this.#stableSinceMs = nowMs
  }

  #isMembershipStable (nowMs: number): boolean {
    return nowMs - this.#stableSinceMs >= this.#options.timings.membershipStabilizationMs
  }

  /** While others are alive, an owner needs a member in its view that can take over soon, or the delay must have passed. */
  #isViewReady (members: readonly MemberRecord[], nowMs: number): boolean {
    return members.length <= 1 || this.#options.views.listConfirmedMembers().length > 1 ||
      nowMs - this.#stableSinceMs >= SINGLE_MEMBER_VIEW_DELAY_MS
  }

  #isOwn (owner: UnitOwner): boolean {
    const { self } = this.#options
    return owner.instance === self.instance && owner.incarnation === self.incarnation
  }
}
