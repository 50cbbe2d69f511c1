import type { RunResult } from './decision.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import type { TargetState } from './target-state.js'

interface TargetHealth {
  outcomes: number
  failures: number
  probeDueAtMs: number
  probeIntervalMs: number
  probeSuccesses: number
  isProbing: boolean
}

/** Factor on the weight of earlier outcomes at each new one, which makes about the last 20 count. */
const OUTCOME_DECAY = 0.95

/** Quarantines targets that fail their tasks far more often than their peers, until probes succeed on them. */
export class FailureMonitor {
  readonly #settings: SchedulerSettings
  readonly #health = new Map<TargetState, TargetHealth>()
  readonly #quarantined = new Set<TargetState>()

  constructor (settings: SchedulerSettings) {
    this.#settings = settings
  }

  /** Lists the quarantined targets that are due for a probe. */
  listProbeable (nowMs: number): TargetState[] {
    const due: TargetState[] = []
    for (const state of this.#quarantined) {
      const health = this.#health.get(state)
      if (health !== undefined && !health.isProbing && nowMs >= health.probeDueAtMs && state.isSchedulable()) due.push(state)
    }
    return due
  }

  recordProbeStart (state: TargetState): void {
    const health = this.#health.get(state)
    if (health !== undefined) health.isProbing = true
  }

  /** Records an outcome and returns whether the target entered or left quarantine. */
  recordOutcome (state: TargetState, result: RunResult, isProbe: boolean, nowMs: number): boolean {
    const health = this.#ensure(state)
    if (isProbe) health.isProbing = false
    // A refusal means that the target is leaving or full, and a withdrawn start was never sent to it.
    if (result === 'refused' || result === 'withdrawn') return false
    const hasFailed = result !== 'succeeded'
    health.outcomes = health.outcomes * OUTCOME_DECAY + 1
    health.failures = health.failures * OUTCOME_DECAY + (hasFailed ? 1 : 0)
    if (state.isQuarantined) return isProbe && this.#recordProbe(state, health, hasFailed, nowMs)
    if (!hasFailed || !this.#isFailing(state, health) || !this.#isWithinQuarantineCap(state, 1)) return false
    state.isQuarantined = true
    this.#quarantined.add(state)
    health.probeIntervalMs = this.#settings.probeIntervalMs
    health.probeDueAtMs = nowMs + health.probeIntervalMs
    health.probeSuccesses = 0
    return true
  }

  /**
   * Removes targets that are no longer listed, and ends quarantines that exceed the cap because targets were removed. Returns
   * the listed targets whose quarantine ended.
   */
  prune (): TargetState[] {
    for (const state of this.#health.keys()) {
      if (state.isListed) continue
      this.#health.delete(state)
      this.#quarantined.delete(state)
      state.isQuarantined = false
    }
    const released: TargetState[] = []
    for (const state of this.#quarantined) {
      if (this.#isWithinQuarantineCap(state, 0)) continue
      this.#release(state, this.#ensure(state))
      released.push(state)
    }
    return released
  }

  #recordProbe (state: TargetState, health: TargetHealth, hasFailed: boolean, nowMs: number): boolean {
    if (hasFailed) {
      health.probeSuccesses = 0
      health.probeIntervalMs = Math.min(this.#settings.probeIntervalMaxMs, health.probeIntervalMs * 2)
      health.probeDueAtMs = nowMs + health.probeIntervalMs
      return false
    }
    health.probeSuccesses++
    health.probeDueAtMs = nowMs
    if (health.probeSuccesses < this.#settings.probeSuccesses) return false
    this.#release(state, health)
    return true
  }

  #release (state: TargetState, health: TargetHealth): void {
    state.isQuarantined = false
    this.#quarantined.delete(state)
    health.outcomes = 0
    health.failures = 0
  }

  #isFailing (state: TargetState, health: TargetHealth): boolean {
    if (health.outcomes < this.#settings.quarantineMinOutcomes * OUTCOME_DECAY) return false
    const rate = health.failures / health.outcomes
    if (rate < this.#settings.quarantineMinFailureRate) return false
    let outcomes = 0
    let failures = 0
    for (const pool of state.pools) {
      for (const peer of pool.targets) {
        const peerHealth = peer === state || peer.isQuarantined ? undefined : this.#health.get(peer)
        outcomes += peerHealth?.outcomes ?? 0
        failures += peerHealth?.failures ?? 0
      }
    }
    // Without a peer to compare with, the failures may be caused by the tasks rather than the target.
    return outcomes >= 1 && rate >= this.#settings.quarantinePeerFactor * failures / outcomes
  }

  /** Whether each of the target's pools stays within the cap on quarantined targets with `added` more of them. */
  #isWithinQuarantineCap (state: TargetState, added: number): boolean {
    const { quarantineMaxShare } = this.#settings
    return state.pools.every((pool) => this.#countQuarantined(pool.targets) + added <= pool.targets.length * quarantineMaxShare)
  }

  #countQuarantined (targets: readonly TargetState[]): number {
    return targets.reduce((count, target) => count + (target.isQuarantined ? 1 : 0), 0)
  }

  #ensure (state: TargetState): TargetHealth {
    let health = this.#health.get(state)
    if (health === undefined) {
      const { probeIntervalMs } = this.#settings
      health = { outcomes: 0, failures: 0, probeDueAtMs: 0, probeIntervalMs, probeSuccesses: 0, isProbing: false }
      this.#health.set(state, health)
    }
    return health
  }
}
