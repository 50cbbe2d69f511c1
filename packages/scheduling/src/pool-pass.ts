import { addScaledVector, type ResourceVector, computeDominantShare } from './resource-vector.js'
import { type ClassCandidate, type ClassChoice, chooseClass } from './class-chooser.js'
import { IndexedHeap } from './indexed-heap.js'
import type { PoolState } from './pool-state.js'
import type { QueuedItem } from './queued-item.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import { compareCursors, TeamCursor } from './team-cursor.js'
import { URGENCIES, type Urgency } from './urgency.js'

const SHARE_TOLERANCE = 1e-9

/** What keeps an item out whatever capacity is free. */
export type LimitKind = 'class' | 'team'

interface TeamOrder {
  readonly cursors: IndexedHeap<TeamCursor>
  readonly byTeam: Map<string, TeamCursor>
  failedTries: number
}

/** One pool within one call of `schedule`: the order of its work, and what was tried. */
export class PoolPass {
  readonly pool: PoolState
  readonly #settings: SchedulerSettings
  readonly #teamOrders = new Map<Urgency, TeamOrder>()
  readonly #closedClasses = new Set<Urgency>()
  /** First item that did not fit, in the order of entitlement. */
  firstBlocked: QueuedItem | undefined
  /** The first items of classes under their floor that did not fit. */
  readonly blockedUnderFloor: QueuedItem[] = []
  /** The first urgent items that did not fit. */
  readonly blockedUrgent: QueuedItem[] = []
  /** Classes that were left with untried work. */
  readonly partiallyTriedClasses = new Set<Urgency>()

  constructor (pool: PoolState, settings: SchedulerSettings) {
    this.pool = pool
    this.#settings = settings
  }

  /** The class that goes next, or undefined when nothing is left to try. */
  chooseClass (): ClassChoice | undefined {
    const candidates: ClassCandidate[] = []
    for (const urgency of URGENCIES) {
      if (this.pool.queues[urgency].size === 0 || this.#closedClasses.has(urgency)) continue
      candidates.push({ urgency, share: this.pool.computeClassShare(urgency), policy: this.pool.readClassPolicy(urgency) })
    }
    return chooseClass(candidates)
  }

  /** The first item of the team with the lowest share of its quota. Closes the class when no team can go. */
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

  /** The class's limit or the team's quota, when it does not hold the whole item. */
  findLimit (entry: QueuedItem, needed: ResourceVector): LimitKind | undefined {
    const { pool } = this
    const { urgency, team, taskCount } = entry.item
    const total = addScaledVector(pool.classUse.read(urgency), needed, taskCount)
    if (computeDominantShare(total, pool.capacity) > pool.readClassLimit(urgency) + SHARE_TOLERANCE) return 'class'
    const teamTotal = addScaledVector(pool.teamUse.read(team), needed, taskCount)
    return computeDominantShare(teamTotal, pool.capacity) > pool.readTeamLimit(team) + SHARE_TOLERANCE ? 'team' : undefined
  }

  /** Passes over an item at a limit, and over all that would meet the same limit. */
  skipForLimit (entry: QueuedItem, limit: LimitKind): void {
    const { urgency, team, taskCount } = entry.item
    const order = this.#ensureTeamOrder(urgency)
    const cursor = order.byTeam.get(team)
    if (limit === 'team' && cursor !== undefined) order.cursors.remove(cursor)
    else if (this.pool.isExecutorPool && taskCount === 1) this.#closedClasses.add(urgency)
    else this.skip(entry)
  }

  /** Passes over an item for the rest of the pass. */
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

  /** Notes a start, which changes the team's place in every class. */
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

  /** Notes that an item within its limits did not fit. */
  recordBlocked (entry: QueuedItem, isUnderFloor: boolean): void {
    this.firstBlocked ??= entry
    if (isUnderFloor && this.blockedUnderFloor.length < this.#settings.maxFloorReservations) this.blockedUnderFloor.push(entry)
    if (entry.item.urgency === 'urgent' && this.blockedUrgent.length < this.#settings.preemptionTriesPerPass) this.blockedUrgent.push(entry)
  }

  /** Ends the pass: no further item of the pool fits. */
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
