import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { ReadAccounts } from '../accounts/account-table.js'
import { KnownAccounts } from '../accounts/known-accounts.js'
import { QuotaBudget } from '../accounts/quota-budget.js'
import { JOB_EVENTS } from '../job-events.js'
import { JOB_METRICS } from '../job-metrics.js'
import type { JobProgress } from '../job-progress.js'
import type { ReadyStep } from '../job-table.js'
import { RoomChecker } from '../room-checker.js'
import type { StepProgress } from '../step-progress.js'
import type { TargetView } from '../target-view.js'
import type { WorkMeter } from '../turns/work-meter.js'
import { OVERLOAD_DECISIONS } from '../urgency.js'
import { OverloadPlanner, type OverloadPlan } from './overload-planner.js'
import { RateMeter } from './rate-meter.js'
import type { ShareClassifier } from './share-classifier.js'
import { groupWaitingDemand } from './waiting-demand.js'

/** Period of the plan. Rounds come every 6 ms, while the tasks that a plan counts last for most of a second and more. */
const PLAN_PERIOD_MS = 50
/** Pause after a plan as a multiple of its duration, so that plans take at most a tenth of the processor time in a flood. */
const PAUSE_FACTOR = 9
/** Longest such pause. A single slow plan, such as the first one of a process, doesn't predict the next. */
const MAXIMUM_PAUSE_MS = 500
/** The inflow is averaged over a time that is short against a burst of 4 to 7 s, and long against the pauses between jobs. */
const INFLOW_AVERAGING_MS = 1_500

const NO_DECISIONS: OverloadPlan = new Map()

export interface OverloadControlOptions {
  readonly clock: Clock
  readonly logger: EventLogger
  readonly metrics: MetricSink
  readonly readAccounts: ReadAccounts
  readonly shares: ShareClassifier
  /** Whether the policy service has answered for a step and has permitted no target so far. */
  readonly isPermittedNowhere: (step: StepProgress) => boolean
  /** Counts the steps that are visited. */
  readonly work?: WorkMeter | undefined
}

/** Keeps the decisions on waiting jobs up to date. There are none while the configuration names no account. */
export class OverloadControl {
  readonly #options: OverloadControlOptions
  readonly #accounts: KnownAccounts
  readonly #planner = new OverloadPlanner()
  readonly #inflow = new RateMeter(INFLOW_AVERAGING_MS)
  #plan = NO_DECISIONS
  #plannedAtMs = Number.NEGATIVE_INFINITY
  #notBeforeMs = Number.NEGATIVE_INFINITY

  constructor (options: OverloadControlOptions) {
    this.#options = options
    this.#accounts = new KnownAccounts(options.readAccounts)
  }

  /** Returns the decisions for this round. */
  update (ready: Iterable<ReadyStep>, targets: readonly TargetView[], nowMs: number): OverloadPlan {
    const { clock, shares, isPermittedNowhere, work } = this.#options
    this.#accounts.refresh()
    if (this.#accounts.isEmpty()) {
      if (this.#plan.size > 0) this.#replacePlan(NO_DECISIONS)
      return this.#plan
    }
    if (nowMs < this.#notBeforeMs) return this.#plan
    const startedAtMs = clock.readMonotonicMs()
    // The backlog that is found in the first plan has not just arrived.
    const previousMs = Number.isFinite(this.#plannedAtMs) ? this.#plannedAtMs : nowMs
    const checker = new RoomChecker(targets, work)
    const budget = new QuotaBudget(this.#accounts)
    const context = { nowMs, previousMs, inflow: this.#inflow, checker, shares, budget, isPermittedNowhere, work }
    const demands = groupWaitingDemand(ready, context)
    this.#plannedAtMs = nowMs
    this.#replacePlan(this.#planner.plan(demands, targets, nowMs))
    const durationMs = clock.readMonotonicMs() - startedAtMs
    this.#notBeforeMs = nowMs + Math.max(PLAN_PERIOD_MS, Math.min(MAXIMUM_PAUSE_MS, durationMs * PAUSE_FACTOR))
    return this.#plan
  }

  #replacePlan (plan: OverloadPlan): void {
    const { logger, metrics } = this.#options
    const isDelayed = (progress: JobProgress, by: OverloadPlan): boolean => by.get(progress) === OVERLOAD_DECISIONS.delayed
    let delayedCount = 0
    for (const progress of plan.keys()) {
      if (!isDelayed(progress, plan)) continue
      delayedCount++
      if (!isDelayed(progress, this.#plan)) logger.logInfo(JOB_EVENTS.overloadDelay, { jobId: progress.job.id, isDelayed: true })
    }
    for (const progress of this.#plan.keys()) {
      if (!isDelayed(progress, this.#plan) || isDelayed(progress, plan)) continue
      logger.logInfo(JOB_EVENTS.overloadDelay, { jobId: progress.job.id, isDelayed: false })
    }
    metrics.setGauge(JOB_METRICS.delayedJobs, delayedCount)
    this.#plan = plan
  }
}
