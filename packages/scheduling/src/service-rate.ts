import type { SchedulerSettings } from './scheduler-settings.js'

const MEAN_WORK_GAIN = 0.05
/** Weight of an even split among teams against measured starts of each. */
const TEAM_PRIOR_STARTS = 10
// A team that was dropped is measured again from an even split.
const MAX_TEAMS = 1_000

interface TeamStarts {
  starts: number
  /** Backlog time of the class at the last start. */
  lastStartBacklogMs: number
}

/**
 * Service rate of one class. Starts count only while scheduling leaves a backlog behind, since otherwise they would show
 * the arrival rate. A model rate stands in with the weight of `ratePriorSeconds` until enough is measured.
 */
export class ServiceRate {
  readonly #settings: SchedulerSettings
  #starts = 0
  #backlogSeconds = 0
  #backlogMs = 0
  readonly #teams = new Map<string, TeamStarts>()
  #isBacklogged = false
  #updatedAtMs: number | undefined
  #meanShareSeconds: number | undefined

  constructor (settings: SchedulerSettings) {
    this.#settings = settings
  }

  /** Accounts for the time since the last call. */
  advance (nowMs: number): void {
    const elapsedMs = this.#updatedAtMs === undefined ? 0 : Math.max(0, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = nowMs
    if (!this.#isBacklogged || elapsedMs === 0) return
    const kept = Math.exp(-elapsedMs / this.#settings.rateWindowMs)
    this.#starts *= kept
    this.#backlogMs += elapsedMs
    this.#backlogSeconds = this.#backlogSeconds * kept + elapsedMs / 1_000
  }

  /** Whether scheduling left work of the class in the queue. */
  setBacklogged (isBacklogged: boolean): void {
    this.#isBacklogged = isBacklogged
  }

  recordStart (team: string): void {
    if (!this.#isBacklogged) return
    this.#starts++
    const starts = this.#computeTeamStarts(team) + 1
    const [oldest] = this.#teams.keys()
    if (this.#teams.size >= MAX_TEAMS && oldest !== undefined && !this.#teams.has(team)) this.#teams.delete(oldest)
    this.#teams.set(team, { starts, lastStartBacklogMs: this.#backlogMs })
  }

  /** The part of the class's starts that a team gets while `teamCount` teams have a backlog. */
  computeTeamFraction (team: string, teamCount: number): number {
    return (this.#computeTeamStarts(team) + TEAM_PRIOR_STARTS / teamCount) / (this.#starts + TEAM_PRIOR_STARTS)
  }

  #computeTeamStarts (team: string): number {
    const known = this.#teams.get(team)
    return known === undefined ? 0 : known.starts * Math.exp((known.lastStartBacklogMs - this.#backlogMs) / this.#settings.rateWindowMs)
  }

  /** Records the work of one finished item: its share of the pool's capacity times its run time in seconds. */
  recordWork (shareSeconds: number): void {
    this.#meanShareSeconds = this.#meanShareSeconds === undefined ? shareSeconds : this.#meanShareSeconds + (shareSeconds - this.#meanShareSeconds) * MEAN_WORK_GAIN
  }

  /** Items per second when the class can use `availableShare` of the pool's capacity. */
  computeRate (availableShare: number, assumedWork: number): number {
    const work = Math.max(this.#meanShareSeconds ?? assumedWork, 1e-9)
    const prior = this.#settings.ratePriorSeconds
    return (this.#starts + (availableShare / work) * prior) / (this.#backlogSeconds + prior)
  }
}
