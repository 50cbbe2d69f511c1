import type { SchedulerSettings } from './scheduler-settings.js'

const MEAN_WORK_GAIN = 0.05
/** Starts with which an even split among teams is weighted against the measured starts of each team. */
const TEAM_PRIOR_STARTS = 10
// Bounds memory. A team that was dropped is measured again from an even split.
const MAX_TEAMS = 1_000

interface TeamStarts {
  starts: number
  /** Value of the class's backlog clock at the team's last start. */
  lastStartBacklogMs: number
}

/**
 * Estimates the service rate of one urgency class from its starts. Starts count only while scheduling leaves a backlog, since
 * without one they would measure the arrival rate. A modelled rate is the prior, weighted as `ratePriorSeconds` of backlog.
 * Older starts decay with the time constant `rateWindowMs`, which advances only during a backlog.
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

  /** Adds the time since the last call to the backlog time, if the class was backlogged, and decays older starts. */
  advance (nowMs: number): void {
    const elapsedMs = this.#updatedAtMs === undefined ? 0 : Math.max(0, nowMs - this.#updatedAtMs)
    this.#updatedAtMs = nowMs
    if (!this.#isBacklogged || elapsedMs === 0) return
    const decay = Math.exp(-elapsedMs / this.#settings.rateWindowMs)
    this.#starts *= decay
    this.#backlogMs += elapsedMs
    this.#backlogSeconds = this.#backlogSeconds * decay + elapsedMs / 1_000
  }

  /** Sets whether the last scheduling round left items of the class in the queue. */
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

  /** Fraction of the class's starts that a team is expected to get while `teamCount` teams have a backlog. */
  computeTeamFraction (team: string, teamCount: number): number {
    return (this.#computeTeamStarts(team) + TEAM_PRIOR_STARTS / teamCount) / (this.#starts + TEAM_PRIOR_STARTS)
  }

  /** Returns the team's measured starts, decayed by the backlog time since its last one. */
  #computeTeamStarts (team: string): number {
    const known = this.#teams.get(team)
    return known === undefined ? 0 : known.starts * Math.exp((known.lastStartBacklogMs - this.#backlogMs) / this.#settings.rateWindowMs)
  }

  /** Records the work of a finished item: its share of the pool's capacity times its run time in seconds. */
  recordWork (shareSeconds: number): void {
    this.#meanShareSeconds = this.#meanShareSeconds === undefined
      ? shareSeconds
      : this.#meanShareSeconds + (shareSeconds - this.#meanShareSeconds) * MEAN_WORK_GAIN
  }

  /**
   * Returns the rate in items per second while the class can use `availableShare` of the pool's capacity.
   * `assumedShareSeconds` is the work of one item, used while none has been measured.
   */
  computeRate (availableShare: number, assumedShareSeconds: number): number {
    // 1e-9 avoids a division by 0.
    const shareSeconds = Math.max(this.#meanShareSeconds ?? assumedShareSeconds, 1e-9)
    const priorSeconds = this.#settings.ratePriorSeconds
    return (this.#starts + (availableShare / shareSeconds) * priorSeconds) / (this.#backlogSeconds + priorSeconds)
  }
}
