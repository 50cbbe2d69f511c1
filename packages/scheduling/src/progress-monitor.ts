import type { SchedulerSettings } from './scheduler-settings.js'
import { TARGET_KINDS } from './target.js'
import type { TargetState } from './target-state.js'

interface ProgressRecord {
  progress: number
  advancedAtMs: number
  lastExcess: number
}

/**
 * Detects hung targets by their progress counter. A busy target whose counter advances is saturated at worst and stays in use;
 * one whose counter doesn't change for a full check interval counts as hung until it changes again.
 */
export class ProgressMonitor {
  readonly #settings: SchedulerSettings
  readonly #records = new WeakMap<TargetState, ProgressRecord>()

  constructor (settings: SchedulerSettings) {
    this.#settings = settings
  }

  /** Records a report and returns whether the target became hung or recovered, or its foreign slots changed. */
  record (state: TargetState, progress: number, running: number, nowMs: number): boolean {
    const wasHung = state.isHung
    const foreignBefore = state.foreignSlots
    const excess = Math.max(0, running - state.used.slots)
    const record = this.#records.get(state)
    if (record === undefined) {
      this.#records.set(state, { progress, advancedAtMs: nowMs, lastExcess: excess })
      return false
    }
    // A lower value means that the target restarted, which counts as progress too.
    if (progress !== record.progress || running === 0) record.advancedAtMs = nowMs
    record.progress = progress
    state.isHung = nowMs - record.advancedAtMs >= this.#settings.hungCheckIntervalMs
    // One report may have been sent before slots were released, so only an excess in two reports in a row counts as the work
    // of other owners.
    if (state.target.kind === TARGET_KINDS.executor) state.foreignSlots = Math.min(record.lastExcess, excess)
    record.lastExcess = excess
    return state.isHung !== wasHung || state.foreignSlots !== foreignBefore
  }
}
