import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { ProgressMonitor } from '../progress-monitor.js'
import { DEFAULT_SCHEDULER_SETTINGS } from '../scheduler-settings.js'
import { TargetState } from '../target-state.js'
import { buildBenchTarget } from './bench-builders.js'
import type { TableRow } from './text-table.js'

export const HUNG_COLUMNS = ['executor', 'rule', 'suspected', 'first suspicion after s', 'withheld while advancing %']

const DURATION_MS = 120_000
const REPORT_PERIOD_MS = 500
const FREEZE_AT_MS = 60_000
const REQUEST_TIMEOUT_MS = 3_000
const SIMULATION_STEP_MS = 10
const SLOTS = 8
/** Mean number of work steps of one request; each finished step advances the progress counter. */
const STEPS_PER_REQUEST = 20

type Scenario = 'ordinary' | 'saturated' | 'saturated, then frozen'

const STEPS_PER_SECOND: Readonly<Record<Scenario, number>> = { ordinary: 400, saturated: 25, 'saturated, then frozen': 25 }

/** An executor whose eight slots share a rate of work steps. A saturated one responds far later than the timeout. */
class ExecutorModel {
  readonly #scenario: Scenario
  readonly #random: SeededRandomSource
  readonly #requests: Array<{ startedAtMs: number, stepsLeft: number }> = []
  progress = 0

  constructor (scenario: Scenario, seed: number) {
    this.#scenario = scenario
    this.#random = new SeededRandomSource(seed)
  }

  get running (): number { return this.#requests.length }

  isFrozen (nowMs: number): boolean {
    return this.#scenario === 'saturated, then frozen' && nowMs >= FREEZE_AT_MS
  }

  /** Returns the age of the oldest unanswered request. */
  computeOldestMs (nowMs: number): number {
    return Math.max(0, ...this.#requests.map((request) => nowMs - request.startedAtMs))
  }

  advance (nowMs: number): void {
    while (this.#requests.length < SLOTS) {
      this.#requests.push({ startedAtMs: nowMs, stepsLeft: STEPS_PER_REQUEST * (0.5 + this.#random.drawFraction()) })
    }
    if (this.isFrozen(nowMs)) return
    if (this.#random.drawFraction() >= STEPS_PER_SECOND[this.#scenario] * SIMULATION_STEP_MS / 1_000) return
    this.progress++
    const index = this.#random.drawInteger(this.#requests.length)
    const request = this.#requests[index]
    if (request !== undefined && --request.stepsLeft <= 0) this.#requests.splice(index, 1)
  }
}

function formatDelay (delayMs: number): string {
  return delayMs < 0 ? `${(-delayMs / 1_000).toFixed(1)} before the freeze` : (delayMs / 1_000).toFixed(1)
}

function runScenario (scenario: Scenario, seed: number, rule: 'progress counter' | 'timeout'): TableRow {
  const executor = new ExecutorModel(scenario, seed)
  const state = new TargetState(buildBenchTarget(0, 'executor', 8), 0)
  state.used = { ...state.used, slots: SLOTS }
  const monitor = new ProgressMonitor(DEFAULT_SCHEDULER_SETTINGS)
  let isSuspected = false
  let suspicions = 0
  let firstAtMs: number | undefined
  let withheldMs = 0
  let advancingMs = 0
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += SIMULATION_STEP_MS) {
    executor.advance(nowMs)
    if (!executor.isFrozen(nowMs)) {
      advancingMs += SIMULATION_STEP_MS
      if (isSuspected) withheldMs += SIMULATION_STEP_MS
    }
    if (nowMs % REPORT_PERIOD_MS !== 0) continue
    monitor.record(state, executor.progress, executor.running, nowMs)
    const wasSuspected = isSuspected
    isSuspected = rule === 'timeout' ? executor.computeOldestMs(nowMs) >= REQUEST_TIMEOUT_MS : state.isHung
    if (!isSuspected || wasSuspected) continue
    suspicions++
    firstAtMs ??= nowMs
  }
  const isFrozenAtEnd = scenario === 'saturated, then frozen'
  const delay = firstAtMs === undefined ? '-' : formatDelay(firstAtMs - (isFrozenAtEnd ? FREEZE_AT_MS : 0))
  return [scenario, rule, `${suspicions} times`, delay, (100 * withheldMs / advancingMs).toFixed(1)]
}

/** Measures when an ordinary, a saturated and a frozen executor are suspected, by the progress counter and by a timeout of 3 s. */
export function measureHangDetection (seed: number): TableRow[] {
  const scenarios: readonly Scenario[] = ['ordinary', 'saturated', 'saturated, then frozen']
  return scenarios.flatMap((scenario) => [runScenario(scenario, seed, 'progress counter'), runScenario(scenario, seed, 'timeout')])
}
