import { addScaledVector, type ResourceVector, computeDominantShare } from './resource-vector.js'
import { type ClassCandidate, type ClassChoice, chooseClass } from './class-chooser.js'
import { IndexedHeap } from './indexed-heap.js'
import type { PoolState } from './pool-state.js'
import type { QueuedItem } from './queued-item.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import { compareCursors, TeamCursor } from './team-cursor.js'
import { URGENCIES, type Urgency } from './urgency.js'

const SHARE_TOLERANCE = 1e-9

/** The limit that keeps an item from starting although capacity may be free. */
export type LimitKind = 'class' | 'team'

/** The order in which the teams of one class are served within a pass. */
interface TeamOrder {
  readonly cursors: IndexedHeap<TeamCursor>
  readonly byTeam: Map<string, TeamCursor>
  failedTries: number
}

/** State of one pool within one scheduling round: the order of its queued work and which items were tried. */
export class PoolPass {
  readonly pool: PoolState
  readonly #settings: SchedulerSettings
  readonly #teamOrders = new Map<Urgency, TeamOrder>()
  readonly #closedClasses = new Set<Urgency>()
  /** The first item that did not fit, by entitlement. */
  firstBlocked: QueuedItem | undefined
  /** The first items of classes under their floor that did not fit. */
  readonly blockedUnderFloor: QueuedItem[] = []
  /** The first urgent items that did not fit. */
  readonly blockedUrgent: QueuedItem[] = []
  /** Classes with items that this pass did not try. */
  readonly partiallyTriedClasses = new Set<Urgency>()

  constructor (pool: PoolState, settings: SchedulerSettings) {
    this.pool = pool
    this.#settings = settings
  }

  /** Returns the class to serve next, or undefined when no class has an item left to try. */
  chooseClass (): ClassChoice | undefined {
    const candidates: ClassCandidate[] = []
    for (const urgency of URGENCIES) {
      if (this.pool.queues[urgency].size === 0 || this.#closedClasses.has(urgency)) continue
      candidates.push({ urgency, share: this.pool.computeClassShare(urgency), policy: this.pool.readClassPolicy(urgency) })
    }
    return chooseClass(candidates)
  }

  /**
   * Returns the first untried item of the team with the lowest use of its quota. When no team has one, closes the class for
   * the rest of the pass and returns undefined.
   */
  chooseEntry (urgency: Urgency): QueuedItem | undefined {
    const { cursors } = this.#ensureTeamOrder(urgency)
    for (;;) {
      const cursor = cursors.getFirst()
      if (cursor === undefined) break
      if (cursor.entry !== undefined) return cursor.entry
      cursors.remove(cursor)
    }
    this.#closedClasses.add(urgency)
    return undefined
  }

  /** Returns which limit starting all tasks of the item would exceed: that of its class, the quota of its team, or none. */
  findLimit (entry: QueuedItem, demand: ResourceVector): LimitKind | undefined {
    const { pool } = this
    const { urgency, team, taskCount } = entry.item
    const total = addScaledVector(pool.classUse.read(urgency), demand, taskCount)
    if (computeDominantShare(total, pool.capacity) > pool.readClassLimit(urgency) + SHARE_TOLERANCE) return 'class'
    const teamTotal = addScaledVector(pool.teamUse.read(team), demand, taskCount)
    return computeDominantShare(teamTotal, pool.capacity) > pool.readTeamLimit(team) + SHARE_TOLERANCE ? 'team' : undefined
  }

  /** Skips an item that would exceed a limit, and for the rest of the pass all items that would exceed the same limit. */
  skipForLimit (entry: QueuedItem, limit: LimitKind): void {
    const { urgency, team, taskCount } = entry.item
    const order = this.#ensureTeamOrder(urgency)
    const cursor = order.byTeam.get(team)
    // Each item of an executor pool takes at least one slot, so no other item of the class stays within its limit either.
    if (limit === 'team' && cursor !== undefined) order.cursors.remove(cursor)
    else if (this.pool.isExecutorPool && taskCount === 1) this.#closedClasses.add(urgency)
    else this.skip(entry)
  }

  /** Skips an item for the rest of the pass. Leaves its team, or its class, after too many failed tries. */
  skip (entry: QueuedItem): void {
    const { urgency, team } = entry.item
    const order = this.#ensureTeamOrder(urgency)
    const cursor = order.byTeam.get(team)
    if (cursor === undefined) return
    order.cursors.remove(cursor)
    cursor.advance(false)
    order.failedTries++
    if (cursor.triedCount < this.#settings.placementTriesPerTeam) order.cursors.insert(cursor)
    else if (cursor.entry !== undefined) this.partiallyTriedClasses.add(urgency)
    if (order.failedTries < this.#settings.placementTriesPerClass) return
    this.#closedClasses.add(urgency)
    this.partiallyTriedClasses.add(urgency)
  }

  /** Records a start, which raises the quota use of the team and so moves it back in the order of every class. */
  recordStart (entry: QueuedItem): void {
    const { urgency, team } = entry.item
    const quotaUse = this.#computeQuotaUse(team)
    for (const [orderUrgency, order] of this.#teamOrders) {
      const cursor = order.byTeam.get(team)
      if (cursor === undefined || !order.cursors.remove(cursor)) continue
      cursor.quotaUse = quotaUse
      if (orderUrgency === urgency) cursor.advance(true)
      order.cursors.insert(cursor)
    }
  }

  /** Records that an item within its limits did not fit. */
  recordBlocked (entry: QueuedItem, isUnderFloor: boolean): void {
    this.firstBlocked ??= entry
    if (isUnderFloor && this.blockedUnderFloor.length < this.#settings.maxFloorReservations) this.blockedUnderFloor.push(entry)
    if (entry.item.urgency === 'urgent' && this.blockedUrgent.length < this.#settings.preemptionTriesPerPass) this.blockedUrgent.push(entry)
  }

  /** Closes all classes, because no further item of the pool fits. */
  close (): void {
    for (const urgency of URGENCIES) this.#closedClasses.add(urgency)
  }

  #computeQuotaUse (team: string): number {
    return this.pool.computeTeamShare(team) / Math.max(this.pool.readQuotaShare(team), SHARE_TOLERANCE)
  }

  #ensureTeamOrder (urgency: Urgency): TeamOrder {
    let order = this.#teamOrders.get(urgency)
    if (order === undefined) {
      order = { cursors: new IndexedHeap(compareCursors), byTeam: new Map(), failedTries: 0 }
      for (const [team, heap] of this.pool.queues[urgency].listTeams()) {
        const cursor = new TeamCursor(team, heap, this.#computeQuotaUse(team))
        order.byTeam.set(team, cursor)
        order.cursors.insert(cursor)
      }
      this.#teamOrders.set(urgency, order)
    }
    return order
  }
}
