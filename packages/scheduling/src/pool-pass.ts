import { addAmounts, type Amounts, computeDominantShare } from './amounts.js'
import { type ClassCandidate, type ClassChoice, chooseClass } from './class-chooser.js'
import type { PoolState } from './pool-state.js'
import type { QueuedItem } from './queued-item.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import { URGENCIES, type Urgency } from './urgency.js'

const TOLERANCE = 1e-9

/** One pool within one call of `schedule`: what was tried and set aside. */
export class PoolPass {
  readonly pool: PoolState
  readonly #settings: SchedulerSettings
  readonly #setAside: QueuedItem[] = []
  readonly #closedClasses = new Set<Urgency>()
  readonly #closedTeams = new Set<string>()
  readonly #triesByClass = new Map<Urgency, number>()
  readonly #triesByTeam = new Map<string, number>()
  /** First item that did not fit, in the order of entitlement. */
  firstBlocked: QueuedItem | undefined
  /** Urgent items that did not fit. */
  readonly blockedUrgent: QueuedItem[] = []

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
    let best: QueuedItem | undefined
    let bestShare = Infinity
    for (const [team, heap] of this.pool.queues[urgency].listTeams()) {
      if (this.#closedTeams.has(`${urgency}/${team}`)) continue
      const first = heap.getFirst()
      if (first === undefined) continue
      const share = this.pool.computeTeamShare(team) / Math.max(this.pool.readQuotaShare(team), TOLERANCE)
      if (share < bestShare || (share === bestShare && best !== undefined && first.item.deadlineAtMs < best.item.deadlineAtMs)) {
        best = first
        bestShare = share
      }
    }
    if (best === undefined) this.#closedClasses.add(urgency)
    return best
  }

  /** Whether the class's limit and the team's quota hold the whole item. Closes what is at its limit. */
  isWithinLimits (entry: QueuedItem, needed: Amounts): boolean {
    const { pool } = this
    const { urgency, team, taskCount } = entry.item
    const total = addAmounts(pool.classUse.read(urgency), needed, taskCount)
    if (computeDominantShare(total, pool.capacity) > pool.readClassPolicy(urgency).limitPercent / 100 + TOLERANCE) {
      if (pool.isExecutorPool && taskCount === 1) this.#closedClasses.add(urgency)
      else this.setAside(entry)
      return false
    }
    const teamTotal = addAmounts(pool.teamUse.read(team), needed, taskCount)
    if (computeDominantShare(teamTotal, pool.capacity) > pool.readQuotaShare(team) + TOLERANCE) {
      this.#closedTeams.add(`${urgency}/${team}`)
      return false
    }
    return true
  }

  /** Takes an item out of the order for the rest of the pass. */
  setAside (entry: QueuedItem): void {
    const { urgency, team } = entry.item
    this.pool.queues[urgency].remove(entry)
    this.#setAside.push(entry)
    const classTries = (this.#triesByClass.get(urgency) ?? 0) + 1
    this.#triesByClass.set(urgency, classTries)
    if (classTries >= this.#settings.placementTriesPerClass) this.#closedClasses.add(urgency)
    const teamKey = `${urgency}/${team}`
    const teamTries = (this.#triesByTeam.get(teamKey) ?? 0) + 1
    this.#triesByTeam.set(teamKey, teamTries)
    if (teamTries >= this.#settings.placementTriesPerTeam) this.#closedTeams.add(teamKey)
  }

  /** Closes a class in which no further item can be placed in this pass. */
  closeClass (urgency: Urgency): void {
    this.#closedClasses.add(urgency)
  }

  /** Notes that an item within its limits did not fit. */
  recordBlocked (entry: QueuedItem): void {
    this.firstBlocked ??= entry
    if (entry.item.urgency === 'urgent' && this.blockedUrgent.length < this.#settings.maxPreemptionsPerPool) this.blockedUrgent.push(entry)
  }

  /** Puts back what was set aside. */
  finish (): void {
    for (const entry of this.#setAside) this.pool.queues[entry.item.urgency].insert(entry)
    this.#setAside.length = 0
  }
}
