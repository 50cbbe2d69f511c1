import type { MessagePosition } from './message-order.js'
import type { RunCloser } from './run-closer.js'
import type { RunOrderSender } from './run-order-sender.js'
import type { SessionContext } from './session-context.js'
import type { SessionRuns } from './session-runs.js'
import type { TargetIncarnation } from './target-incarnation.js'
import type { ReportedEnd, ReportedRun, TargetReport } from './target-gateway.js'
import { formatReportedRunKey, formatRunKey, RUN_END_BASES, RUN_OUTCOMES, RUN_PHASES, type RunEnd, type TaskRun } from './task-run.js'

/** End of a run whose start order the target has not carried out. */
const NOT_STARTED: RunEnd = { outcome: RUN_OUTCOMES.notStarted, basis: RUN_END_BASES.unlisted }

/** A poll, as its sender remembers it until the report comes. */
export interface SentPoll {
  readonly sentAt: MessagePosition
  readonly sentAtMs: number
  /** Number up to which the poll acknowledged ended runs; 0 when it acknowledged none. */
  readonly acknowledgedEnd: number
}

/** State and operations of a target session that its report applier uses. */
export interface ReportSession {
  readonly targetId: string
  readonly runs: SessionRuns
  readonly orders: RunOrderSender
  readonly closer: RunCloser
}

/** Concludes from a target's report what became of the runs. Nothing is concluded from the absence of a run that the poll preceded. */
export class ReportApplier {
  readonly #context: SessionContext
  readonly #session: ReportSession

  constructor (context: SessionContext, session: ReportSession) {
    this.#context = context
    this.#session = session
  }

  /** Applies the ends of a report. They stay true whatever was reported since. */
  applyEnds (ends: readonly ReportedEnd[], incarnation: TargetIncarnation): void {
    for (const reported of ends) this.#applyEnd(reported, incarnation)
  }

  /** Applies the newest report of an incarnation. */
  applyNewest (report: TargetReport, poll: SentPoll, incarnation: TargetIncarnation): void {
    const { runs } = this.#session
    for (const reported of report.running) this.#applyRunning(reported, incarnation)
    // A run that is not listed may be among the ends that the target did not report this time.
    if (report.hasMoreEnds === true) return
    const runningKeys = new Set(report.running.map((reported) => formatReportedRunKey(reported)))
    for (const run of runs.copy()) if (!runningKeys.has(formatRunKey(run))) this.#checkUnlisted(run, poll, incarnation)
  }

  #applyRunning (reported: ReportedRun, incarnation: TargetIncarnation): void {
    const { runs, orders, targetId } = this.#session
    const key = formatReportedRunKey(reported)
    if (incarnation.ends.hasEnded(key)) return
    let run = runs.find(key)
    if (run === undefined) {
      run = this.#context.onUnknownRun(reported, targetId)
      if (run === undefined) return
      // The job of a run that was given up may have finished since, so that only the run tells its account.
      const charge = run.charge ?? runs.findGivenUp(key)?.charge
      if (charge !== run.charge) run = { ...run, charge }
      runs.add(run)
      orders.markRunning(run)
      void orders.sendStop(run)
      return
    }
    orders.markRunning(run)
    if (reported.percent !== run.percent) {
      run.percent = reported.percent
      run.percentChangedAtMs = this.#context.clock.readMonotonicMs()
    }
    if (reported.checkpoint !== '') this.#context.onCheckpoint(run, reported.checkpoint)
  }

  #applyEnd (reported: ReportedEnd, incarnation: TargetIncarnation): void {
    const { runs, orders } = this.#session
    const key = formatReportedRunKey(reported)
    incarnation.ends.rememberEndedRun(key)
    const run = runs.find(key)
    const end: RunEnd = { outcome: reported.outcome, basis: RUN_END_BASES.reported, checkpoint: reported.checkpoint }
    const hasRun = reported.outcome === RUN_OUTCOMES.done || reported.outcome === RUN_OUTCOMES.failed
    if (run === undefined) {
      const givenUp = runs.takeGivenUp(key)
      if (givenUp === undefined) this.#context.onUnknownEnd(reported, this.#session.targetId)
      else if (hasRun) this.#context.onRunEnded(givenUp, end)
      return
    }
    if (hasRun) orders.markRunning(run)
    this.#session.closer.endRun(run, end)
  }

  /** Ends or stops a run that the newest report lists neither as running nor as ended. */
  #checkUnlisted (run: TaskRun, poll: SentPoll, incarnation: TargetIncarnation): void {
    if (run.phase === RUN_PHASES.running) {
      // A run that was on the target before the poll was sent, in this incarnation or an earlier one, is over.
      const isYoung = poll.sentAtMs - run.sentAtMs <= this.#context.timings.orderTimeoutMs
      if (isYoung || !isBefore(run.confirmedAt, poll)) return
      const basis = isBefore(run.confirmedAt, { sentAt: incarnation.recognizedAt }) ? RUN_END_BASES.restarted : RUN_END_BASES.unlisted
      return this.#session.closer.endRun(run, { outcome: RUN_OUTCOMES.lapsed, basis })
    }
    if (run.phase === RUN_PHASES.delayed) return this.#session.closer.dropRun(run, NOT_STARTED)
    if (run.phase !== RUN_PHASES.unsettled || run.sentAtMs >= poll.sentAtMs) return
    const isFromEarlierOwner = run.sentAtMs === Number.NEGATIVE_INFINITY
    // The target has seen this owner's fencing token, so it refuses an order of an earlier owner that is still in transit.
    if (!isFromEarlierOwner && !isBefore(run.stopAcknowledgedAt, poll)) return this.#session.orders.requestStop(run)
    this.#session.closer.dropRun(run, NOT_STARTED)
  }
}

function isBefore (position: MessagePosition | undefined, { sentAt }: Pick<SentPoll, 'sentAt'>): boolean {
  return position !== undefined && position < sentAt
}
