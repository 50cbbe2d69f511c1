import type { PeerNetwork } from '@hibiscusledge/peer/peer-network.js'
import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { ReadAccounts } from '../accounts/account-table.js'
import { KnownAccounts } from '../accounts/known-accounts.js'
import { QuotaBudget } from '../accounts/quota-budget.js'
import { JOB_MESSAGES } from '../job-messages.js'
import type { JobTable } from '../job-table.js'
import { RoomChecker } from '../room-checker.js'
import type { StepProgress } from '../step-progress.js'
import type { TargetInventory } from '../target-inventory.js'
import type { RunOutcome, TaskRun } from '../task-run.js'
import { TURN_PARTS, type TurnMeter } from '../turns/turn-meter.js'
import { DrainMeter } from './drain-meter.js'
import { buildServiceLoads, type LoadReport } from './load-report.js'
import type { ShareClassifier } from './share-classifier.js'

/** An instance uses a report for 1,500 ms, so two reports in a row may be lost. */
const REPORT_PERIOD_MS = 500

export interface LoadReporterOptions {
  readonly clock: Clock
  readonly turns: TurnMeter
  readonly network: PeerNetwork
  readonly table: JobTable
  readonly inventory: TargetInventory
  readonly term: number
  readonly readAccounts: ReadAccounts
  readonly shares: ShareClassifier
  readonly isAuthorized: () => boolean
  readonly isPermittedNowhere: (step: StepProgress) => boolean
}

/** Tells all instances, this one included, how much work waits and how fast it is finished, while accounts are configured. */
export class LoadReporter {
  readonly #options: LoadReporterOptions
  readonly #accounts: KnownAccounts
  readonly #drain = new DrainMeter()
  #sequence = 0
  #timer: Timer | undefined

  constructor (options: LoadReporterOptions) {
    this.#options = options
    this.#accounts = new KnownAccounts(options.readAccounts)
  }

  start (): void {
    const { clock, turns } = this.#options
    this.#timer = clock.startInterval(REPORT_PERIOD_MS, () => turns.measure(TURN_PARTS.loadReport, () => this.#report()))
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** Counts a run that has ended, before its job is updated. */
  recordEnd (run: TaskRun, outcome: RunOutcome): void {
    const { clock, table } = this.#options
    const job = table.find(run.task.jobId)?.job
    const step = job?.steps[run.task.step]
    if (job !== undefined && step !== undefined) this.#drain.recordEnd(job.terms.service, step, run, outcome, clock.readMonotonicMs())
  }

  #report (): void {
    const { clock, network, table, inventory, term, shares, isAuthorized, isPermittedNowhere } = this.#options
    this.#accounts.refresh()
    if (this.#accounts.isEmpty() || !isAuthorized()) return
    const nowMs = clock.readMonotonicMs()
    const targets = inventory.listUsable(nowMs, nowMs)
    const { work } = this.#options.turns
    const context = {
      nowMs, checker: new RoomChecker(targets, work), shares, budget: new QuotaBudget(this.#accounts), isPermittedNowhere, work
    }
    const services = buildServiceLoads(table.listReady(), context, targets, this.#drain)
    const report: LoadReport = { term, sequence: ++this.#sequence, services }
    for (const { instance } of [network.self, ...network.listConnected()]) {
      network.sendNotification(instance, JOB_MESSAGES.reportLoad, report)
    }
  }
}
