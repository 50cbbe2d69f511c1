import { addScaledVector, type ResourceVector, computeDominantShare } from './resource-vector.js'
import { type ClassCandidate, type ClassChoice, chooseClass } from './class-chooser.js'
import { IndexedHeap } from './indexed-heap.js'
import type { PoolState } from './pool-state.js'
import type { QueuedItem } from './queued-item.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import { compareCursors, TeamCursor } from './team-cursor.js'
import { URGENCIES, type Urgency } from './urgency.js'

/** Tolerance of comparisons of shares of the pool's capacity (0 to 1), and the smallest share by which one is divided. */
const SHARE_TOLERANCE = 1e-9

/**
 * The limit that keeps an item from starting although capacity may be free: the limit of its urgency class, or the quota of
 * its team.
 */
export type LimitKind = 'class' | 'team'

/** The order in which the teams of one urgency class are served within a pass. */
interface TeamOrder {
  readonly cursors: IndexedHeap<TeamCursor>
  readonly byTeam: Map<string, TeamCursor>
  failedTries: number
}

/**
 * State of one pass over one pool: the order of its queued work and which items were tried. A scheduling round makes one pass
 * over each pool.
 */
export class PoolPass {
  readonly pool: PoolState
  readonly #settings: SchedulerSettings
  readonly #teamOrders = new Map<Urgency, TeamOrder>()
  /** Urgency classes of which this pass tries no more items. */
  readonly #finishedClasses = new Set<Urgency>()
  /** The first item that was blocked: within its limits, but no target had enough free capacity for it. */
  firstBlocked: QueuedItem | undefined
  /** The first blocked items of classes under their floor. */
  readonly blockedUnderFloor: QueuedItem[] = []
  /** The first blocked urgent items. */
  readonly blockedUrgent: QueuedItem[] = []
  /** Classes in which this pass reached the limit of failed tries: that of the class, or that of a team with items left to try. */
  readonly partiallyTriedClasses = new Set<Urgency>()

  constructor (pool: PoolState, settings: SchedulerSettings) {
    this.pool = pool
    this.#settings = settings
  }

  /** Returns the urgency class to serve next, or undefined when no class has an item left to try. */
  chooseNextClass (): ClassChoice | undefined {
    const candidates: ClassCandidate[] = []
    for (const urgency of URGENCIES) {
      if (this.pool.queues[urgency].size === 0 || this.#finishedClasses.has(urgency)) continue
      candidates.push({ urgency, share: this.pool.computeClassShare(urgency), policy: this.pool.readClassPolicy(urgency) })
    }
    return chooseClass(candidates)
  }

  /**
   * Returns the first untried item of the team with the lowest use of its quota. When no team has one, ends the pass
   * for the class and returns undefined.
   */
  chooseNextItem (urgency: Urgency): QueuedItem | undefined {
    const { cursors } = this.#ensureTeamOrder(urgency)
    for (;;) {
      const cursor = cursors.getFirst()
      if (cursor === undefined) break
      if (cursor.current !== undefined) return cursor.current
      cursors.remove(cursor)
    }
    this.#finishedClasses.add(urgency)
    return undefined
  }

  /** Returns which limit starting all tasks of the item would exceed: that of its class, the quota of its team, or none. */
  findLimit (queued: QueuedItem, demand: ResourceVector): LimitKind | undefined {
    const { pool } = this
    const { urgency, team, taskCount } = queued.item
    const total = addScaledVector(pool.classUse.read(urgency), demand, taskCount)
    if (computeDominantShare(total, pool.capacity) > pool.readClassLimit(urgency) + SHARE_TOLERANCE) return 'class'
    const teamTotal = addScaledVector(pool.teamUse.read(team), demand, taskCount)
    return computeDominantShare(teamTotal, pool.capacity) > pool.readTeamQuotaLimit(team) + SHARE_TOLERANCE ? 'team' : undefined
  }

  /** Skips an item that would exceed a limit, and for the rest of the pass all items that would exceed the same limit. */
  skipForLimit (queued: QueuedItem, limit: LimitKind): void {
    const { urgency, team, taskCount } = queued.item
    const order = this.#ensureTeamOrder(urgency)
    const cursor = order.byTeam.get(team)
    if (limit === 'team' && cursor !== undefined) order.cursors.remove(cursor)
    // Each item of an executor pool takes at least one slot. If an item of one slot exceeds the class limit, every other does.
    else if (this.pool.isExecutorPool && taskCount === 1) this.#finishedClasses.add(urgency)
    else this.skip(queued)
  }

  /**
   * Skips an item for the rest of the pass. The pass tries no more items of the team after `placementTriesPerTeam` tries, and
   * none of the class after `placementTriesPerClass`.
   */
  skip (queued: QueuedItem): void {
    const { urgency, team } = queued.item
    const order = this.#ensureTeamOrder(urgency)
    const cursor = order.byTeam.get(team)
    if (cursor === undefined) return
    order.cursors.remove(cursor)
    cursor.advance(false)
    order.failedTries++
    if (cursor.triedCount < this.#settings.placementTriesPerTeam) order.cursors.insert(cursor)
    else if (cursor.current !== undefined) this.partiallyTriedClasses.add(urgency)
    if (order.failedTries < this.#settings.placementTriesPerClass) return
    this.#finishedClasses.add(urgency)
    this.partiallyTriedClasses.add(urgency)
  }

  /** Records a start, which raises the quota use of the team and so moves it back in the order of every class. */
  recordStart (queued: QueuedItem): void {
    const { urgency, team } = queued.item
    const quotaUse = this.#computeQuotaUse(team)
    for (const [orderUrgency, order] of this.#teamOrders) {
      const cursor = order.byTeam.get(team)
      if (cursor === undefined || !order.cursors.remove(cursor)) continue
      cursor.quotaUse = quotaUse
      if (orderUrgency === urgency) cursor.advance(true)
      order.cursors.insert(cursor)
    }
  }

  /** Records that an item is blocked: it is within its limits, but no target has enough free capacity for it. */
  recordBlocked (queued: QueuedItem, isUnderFloor: boolean): void {
    this.firstBlocked ??= queued
    if (isUnderFloor && this.blockedUnderFloor.length < this.#settings.maxFloorReservations) this.blockedUnderFloor.push(queued)
    if (queued.item.urgency === 'urgent' && this.blockedUrgent.length < this.#settings.preemptionTriesPerPass) this.blockedUrgent.push(queued)
  }

  /** Ends the pass for all classes, because no further item of the pool fits. */
  finish (): void {
    for (const urgency of URGENCIES) this.#finishedClasses.add(urgency)
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
