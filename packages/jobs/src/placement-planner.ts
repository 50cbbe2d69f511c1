import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { AccountShares } from './accounts/account-shares.js'
import type { ReadAccounts } from './accounts/account-table.js'
import { createCharge, type AccountUsage } from './accounts/account-usage.js'
import { QuotaGate } from './accounts/quota-gate.js'
import { QuotaWaitRecorder } from './accounts/quota-wait-recorder.js'
import { OverloadControl } from './admission/overload-control.js'
import { AdviceRequester, type AdvisedStep } from './advice-requester.js'
import type { AdviceDispatcher } from './advice-dispatcher.js'
import { JOB_EVENTS } from './job-events.js'
import { JOB_METRICS } from './job-metrics.js'
import type { AdvicePolicy } from './job.js'
import type { JobProgress } from './job-progress.js'
import type { JobTable, ReadyStep } from './job-table.js'
import { PlacementRound, type Placement, type WaitingStep } from './placement-round.js'
import { NO_RESERVATIONS } from './gang-reservations.js'
import { StepSelector, type SelectedStep } from './step-selector.js'
import type { StepProgress, TaskProgress } from './step-progress.js'
import { TargetInventory } from './target-inventory.js'
import type { TargetSpeeds } from './targets/target-speeds.js'
import type { TargetSession } from './target-session.js'
import { computeReservedResources } from './capacity-tracker.js'
import { computeExpectedEndMs, formatStepName, RUN_PHASES, type TaskRun } from './task-run.js'
import type { PacedQueue } from './turns/paced-queue.js'
import type { WorkMeter } from './turns/work-meter.js'
import { countByTarget, listPlaceable, readStepName } from './waiting-tasks.js'

/** Size of the range of run numbers that each term of ownership has for a task, so that numbers of different owners differ. */
const RUNS_PER_TERM = 1_000
/** Minimum interval between two checks whether a waiting step needs advice on more targets, or new tickets. */
const ADVICE_CHECK_PERIOD_MS = 200
/** Maximum number of such checks in one round. */
const ADVICE_CHECKS_PER_ROUND = 10
/** A step that must start within this time may use capacity that a less urgent gang reserved in the previous round. */
const RESERVATION_OVERRIDE_MS = 1_000
/**
 * Placed runs on usable targets whose start has no answer yet, beyond which no more are placed: some 1 s of orders. With more, orders
 * would wait until they are too late, and their tasks would be placed again and again.
 */
const MAXIMUM_UNCONFIRMED_STARTS = 2_000
/** Added to a run's estimated duration for starting it and detecting its end. */
const RUN_OVERHEAD_MS = 60

export interface PlacementPlannerOptions {
  readonly clock: Clock
  readonly logger: EventLogger
  readonly metrics: MetricSink
  /** Counts the work of the rounds. */
  readonly work: WorkMeter
  readonly orders: PacedQueue
  readonly table: JobTable
  readonly advice: AdviceDispatcher
  readonly term: number
  readonly sessions: ReadonlyMap<string, TargetSession>
  readonly speeds: TargetSpeeds
  readonly readAccounts: ReadAccounts
  readonly shares: AccountShares
  readonly accountUsage: AccountUsage
  readonly isAuthorized: () => boolean
  readonly markChanged: (jobId: string) => void
  readonly runWhenJobStored: (jobId: string, callback: () => void) => void
  readonly requestRound: () => void
}

interface PlannedRun {
  readonly session: TargetSession
  readonly run: TaskRun
  readonly task: TaskProgress
  readonly ticket: string | undefined
}

/** Chooses targets for the ready steps in order of urgency, requests advice, and starts the placed runs. */
export class PlacementPlanner {
  readonly #options: PlacementPlannerOptions
  readonly #adviceRequester: AdviceRequester
  readonly #inventory: TargetInventory
  readonly #quota: QuotaGate
  readonly #quotaWaits: QuotaWaitRecorder
  readonly #selector: StepSelector
  readonly #overload: OverloadControl
  #adviceChecksLeft = ADVICE_CHECKS_PER_ROUND
  #reservations = NO_RESERVATIONS

  constructor (options: PlacementPlannerOptions) {
    this.#options = options
    const { clock, logger, metrics, advice, requestRound } = options
    this.#inventory = new TargetInventory(options.sessions, options.speeds)
    this.#adviceRequester = new AdviceRequester(clock, logger, metrics, advice, requestRound)
    this.#quotaWaits = new QuotaWaitRecorder(logger, metrics)
    this.#quota = new QuotaGate(options.readAccounts, options.accountUsage, (ready, account) => this.#quotaWaits.recordWait(ready, account))
    this.#selector = new StepSelector(this.#adviceRequester, this.#inventory, this.#quota, options.work)
    this.#overload = new OverloadControl({
      clock,
      logger,
      metrics,
      readAccounts: options.readAccounts,
      shares: options.shares,
      work: options.work,
      isPermittedNowhere: (step) => this.isPermittedNowhere(step)
    })
  }

  /** Places the steps that fit now. The orders are sent once the intents are stored. */
  runRound (): void {
    const { clock, table, work, isAuthorized, requestRound } = this.#options
    if (!isAuthorized()) return
    const nowMs = clock.readMonotonicMs()
    const targets = this.#inventory.listUsable(nowMs, nowMs + RUN_OVERHEAD_MS)
    const unconfirmedStarts = targets.reduce((sum, target) => sum + (target.unconfirmedStarts ?? 0), 0)
    const placements = MAXIMUM_UNCONFIRMED_STARTS - unconfirmedStarts
    if (placements <= 0) return requestRound()
    const round = new PlacementRound(nowMs, targets, this.#reservations, { work, placements })
    this.#adviceChecksLeft = ADVICE_CHECKS_PER_ROUND
    this.#quota.beginRound(nowMs)
    const decisions = this.#overload.update(table.listReady(), targets, nowMs)
    const activeIds = this.#inventory.groupActive(nowMs)
    const selected = this.#selector.select(table.listReady(), { nowMs, usable: targets, activeIds, decisions })
    for (const step of selected) {
      this.#placeStep(round, step, nowMs)
      if (!round.isExhausted()) continue
      requestRound()
      break
    }
    this.#reservations = round.listReservations()
    this.#quotaWaits.publish()
  }

  stop (): void {
    this.#adviceRequester.stop()
  }

  /** Invalidates the ticket of a run whose target refused it, so that advice is requested again. */
  expireTicket (run: TaskRun): void {
    this.#adviceRequester.cache.expireTicket(formatStepName(run.task), run.targetId)
  }

  /** Whether the policy service has answered for a step and has permitted no target so far. */
  isPermittedNowhere (step: StepProgress): boolean {
    return this.#adviceRequester.cache.isPermittedNowhere(readStepName(step))
  }

  /** Drops the cached advice on a job's steps. */
  forgetJob (progress: JobProgress): void {
    for (const steps of progress.listOpen()) this.forgetSteps(steps)
  }

  /** Drops the cached advice on steps that are complete. */
  forgetSteps (steps: readonly StepProgress[]): void {
    for (const step of steps) this.#adviceRequester.cache.forget(readStepName(step))
  }

  #placeStep (round: PlacementRound, selected: SelectedStep, nowMs: number): void {
    const { ready, urgency, activeIds, mayReserve } = selected
    const { progress, step } = ready
    const { terms } = progress.job
    const stepName = readStepName(step)
    const { cache } = this.#adviceRequester
    if (terms.advice !== undefined && !cache.hasAnswer(stepName)) {
      if (cache.isWaiting(stepName, nowMs)) return
      return this.#adviceRequester.requestInitial(
        createAdvisedStep(selected, terms.advice), this.#inventory.listCandidates(round, step.step, activeIds)
      )
    }
    const pending = listPlaceable(progress, step, selected.startableCount)
    const waiting: WaitingStep = {
      stepName,
      service: terms.service,
      step: step.step,
      pending,
      avoided: step.failedTargets,
      excluded: this.#listExcluded(round, selected, stepName, nowMs),
      countByTarget: countByTarget(step),
      permittedIds: terms.advice === undefined ? undefined : cache.listPermitted(stepName),
      // The end of a task that lasts is no objective to wait by.
      canWait: !step.step.isLongRunning && urgency.latestStartMs - nowMs > RESERVATION_OVERRIDE_MS,
      slackMs: urgency.latestStartMs - nowMs,
      // Without tickets, the capacity would stay idle for as long as the policy service gives none.
      reservesCapacity: mayReserve && !cache.isFailing(stepName)
    }
    const placements = this.#placeWithTickets(round, waiting, nowMs)
    if (placements.length > 0) {
      cache.recordPlaced(stepName)
      return this.#startPlaced(round, selected, placements, nowMs)
    }
    if (terms.advice === undefined || cache.isWaiting(stepName, nowMs) || !cache.isCheckDue(stepName, nowMs)) return
    if (this.#adviceChecksLeft-- <= 0) return
    cache.pauseChecks(stepName, nowMs + ADVICE_CHECK_PERIOD_MS)
    if (step.step.isGang && this.#renewTickets(round, selected, terms.advice)) return
    this.#extendAdvice(round, selected, terms.advice, nowMs)
  }

  /** Places a step on targets with a valid ticket if it fits there, otherwise on any permitted targets. */
  #placeWithTickets (round: PlacementRound, waiting: WaitingStep, nowMs: number): Placement[] {
    if (waiting.permittedIds === undefined) return round.place(waiting)
    const ticketed = this.#adviceRequester.cache.listTicketed(waiting.stepName, nowMs)
    const placements = ticketed.length === 0 ? [] : round.place({ ...waiting, permittedIds: ticketed, reservesCapacity: false })
    return placements.length > 0 ? placements : round.place(waiting)
  }

  /** Keeps the tickets of a waiting gang valid. Returns whether it requested new ones. */
  #renewTickets (round: PlacementRound, selected: SelectedStep, policy: AdvicePolicy): boolean {
    const { ready } = selected
    const advised = createAdvisedStep(selected, policy)
    const permitted = this.#adviceRequester.cache.listPermitted(advised.stepName)
    const candidates = this.#inventory.listCandidates(round, ready.step.step, permitted)
    return this.#adviceRequester.renewTickets(advised, candidates, ADVICE_CHECK_PERIOD_MS)
  }

  /** Requests advice on further targets for a step that doesn't fit on the permitted ones. */
  #extendAdvice (round: PlacementRound, selected: SelectedStep, policy: AdvicePolicy, nowMs: number): void {
    const { ready, activeIds } = selected
    const advised = createAdvisedStep(selected, policy)
    const { cache } = this.#adviceRequester
    const unasked = this.#inventory.listCandidates(round, ready.step.step, cache.listUnasked(advised.stepName, activeIds))
    this.#adviceRequester.requestExtension(advised, unasked, {
      waitedMs: cache.recordWaiting(advised.stepName, nowMs),
      isStuck: () => {
        const excluded = ready.step.failedTargets.listExcluded(nowMs, () => true)
        return !round.expected.hasSlots(ready.step, cache.listPermitted(advised.stepName), excluded)
      },
      isIdle: () => round.expected.isMostlyIdle(ready.progress.job.terms.service)
    })
  }

  /** Lists the targets that a step must not use now. A job that fails wherever it runs would only wait. */
  #listExcluded (round: PlacementRound, selected: SelectedStep, stepName: string, nowMs: number): ReadonlySet<string> {
    const { progress, step } = selected.ready
    if (progress.isFailingItself(nowMs)) return new Set()
    return step.failedTargets.listExcluded(nowMs, (avoided) => this.#hasAlternative(round, selected, stepName, avoided))
  }

  /** Whether other targets than the avoided ones are expected to hold a step, be it after advice on them is requested. */
  #hasAlternative (
    round: PlacementRound, { ready: { progress, step }, activeIds }: SelectedStep, stepName: string, avoided: ReadonlySet<string>
  ): boolean {
    if (progress.job.terms.advice === undefined) return round.expected.hasSlots(step, activeIds, avoided)
    const { cache } = this.#adviceRequester
    return round.expected.hasSlots(step, [...cache.listPermitted(stepName), ...cache.listUnasked(stepName, activeIds)], avoided)
  }

  #startPlaced (round: PlacementRound, selected: SelectedStep, placements: readonly Placement[], nowMs: number): void {
    const { ready } = selected
    const { progress, step } = ready
    const { cache } = this.#adviceRequester
    const stepName = readStepName(step)
    const policy = progress.job.terms.advice
    const tickets = placements.map(({ targetId }) => policy === undefined ? undefined : cache.findTicket(stepName, targetId, nowMs))
    if (policy !== undefined) {
      const missing = placements.filter((_, index) => tickets[index] === undefined)
      if (missing.length > 0) {
        const permitted = this.#inventory.listCandidates(round, step.step, cache.listPermitted(stepName))
        this.#adviceRequester.refreshTickets(
          createAdvisedStep(selected, policy), placements.map(({ targetId }) => targetId), permitted
        )
      }
      const isUnusable = cache.isFailing(stepName)
      if (missing.length > 0 && step.step.isGang && !isUnusable) return round.reservePlaced(stepName, step.step, placements)
      if (isUnusable) round.releasePlaced(step.step, step.step.isGang && missing.length > 0 ? placements : missing)
      if (missing.length > 0 && step.step.isGang) return
    }
    const checkpoint = step.step.isGang ? findGangCheckpoint(step) : undefined
    const planned = placements.flatMap((placement, index): PlannedRun[] => {
      const ticket = tickets[index]
      if (policy !== undefined && ticket === undefined) return []
      const session = this.#inventory.find(placement.targetId)
      if (session === undefined) return []
      const task = step.ensureTask(placement.index)
      if (checkpoint !== undefined) task.checkpoint = checkpoint
      return [{ session, run: this.#createRun(ready, task, session, nowMs), task, ticket }]
    })
    if (planned.length === 0) return
    for (const { session, run, task } of planned) {
      step.addRun(task.key.index, run)
      session.addRun(run)
    }
    const waitedMs = nowMs - (step.readyAtMs ?? nowMs)
    this.#options.metrics.recordTiming(JOB_METRICS.placementWait, waitedMs, { queue: progress.job.terms.queue })
    this.#options.logger.logInfo(JOB_EVENTS.taskPlaced, {
      jobId: progress.job.id,
      step: stepName,
      waitedMs: Math.round(waitedMs),
      runs: planned.map(({ run }) => [run.task.index, run.number, run.targetId])
    })
    this.#options.markChanged(progress.job.id)
    this.#options.runWhenJobStored(progress.job.id, () => { this.#startRuns(ready, planned) })
  }

  #startRuns ({ progress }: ReadyStep, planned: readonly PlannedRun[]): void {
    for (const { session, run, task, ticket } of planned) {
      this.#options.orders.run(() => {
        void session.startRun(run, { specification: progress.job.specification, checkpoint: task.checkpoint, ticket })
      })
    }
  }

  #createRun ({ progress, step }: ReadyStep, task: TaskProgress, session: TargetSession, nowMs: number): TaskRun {
    task.runCount++
    return {
      task: task.key,
      number: this.#options.term * RUNS_PER_TERM + task.runCount,
      targetId: session.id,
      targetStartedAtMs: session.readDescription().startedAtMs,
      size: computeReservedResources(step.step.size, step.step.usesIdleCapacity),
      charge: createCharge(progress.job, step.step),
      phase: RUN_PHASES.reserved,
      sentAtMs: nowMs,
      expectedEndMs: computeExpectedEndMs(step.step, nowMs + RUN_OVERHEAD_MS, this.#options.speeds.readRelativeRunTime(session.id, nowMs)),
      confirmedAt: undefined,
      isStopWanted: false,
      stopAcknowledgedAt: undefined,
      percent: 0,
      percentChangedAtMs: nowMs
    }
  }
}

function createAdvisedStep (selected: SelectedStep, policy: AdvicePolicy): AdvisedStep {
  const { ready: { progress, step }, urgency, pendingCount, startableCount } = selected
  const taskCount = startableCount < pendingCount ? startableCount : step.countPending()
  return { stepName: readStepName(step), queue: progress.job.terms.queue, policy, step: step.step, taskCount, urgency }
}

/** Returns the checkpoint from which all members of a gang resume; empty when there is none. */
function findGangCheckpoint (step: StepProgress): string {
  return [...step.listTasks()].find((task) => task.checkpoint !== '')?.checkpoint ?? ''
}
