import type { Resources } from '@hibiscusledge/jobs/job.js'
import type {
  OrderAnswer, OrderError, PollOrder, ReportedEnd, StartOrder, StopOrder, TargetDescription, TargetReport
} from '@hibiscusledge/jobs/target-gateway.js'
import type { RunOutcome } from '@hibiscusledge/jobs/task-run.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { parseTicket } from './model-advice.js'
import type { VirtualClock } from './virtual-clock.js'

const SERVICE = 'ledger'
export const TARGET_CAPACITY: Resources = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 }
/** Targets of one rack. */
const RACK_SIZE = 12

/** A run on a target. A gang's members work only once all of them are there. */
export interface ModelRun {
  readonly target: ModelTarget
  readonly taskName: string
  readonly number: number
  readonly cpuMillis: number
  /** Virtual time at which the run began to work; undefined while it waits for the rest of its gang. */
  workingSinceMs: number | undefined
}

/** What a target needs to know of the tasks it starts, and whom it tells of them. */
export interface TargetEnvironment {
  readonly clock: VirtualClock
  readSize (taskName: string): Resources
  isAdvised (taskName: string): boolean
  onStarted (run: ModelRun): void
  onEnded (run: ModelRun, outcome: RunOutcome): void
}

/** A target that runs whatever it is told to start, at its own speed. */
export class ModelTarget {
  readonly id: string
  readonly speed: number
  /** Factor on the duration of the tasks that begin now. */
  slowdown = 1
  isDraining = false
  /** Virtual time at which a draining target leaves. */
  leavesAtMs = Number.POSITIVE_INFINITY
  readonly #environment: TargetEnvironment
  readonly #rack: number
  readonly #runs = new Map<string, ModelRun>()
  readonly #closedRuns = new Map<string, number>()
  #ends: ReportedEnd[] = []
  #endCount = 0
  #waiters: (() => void)[] = []

  constructor (index: number, speed: number, environment: TargetEnvironment) {
    this.id = `t${index}`
    this.speed = speed
    this.#rack = Math.floor(index / RACK_SIZE)
    this.#environment = environment
  }

  describe (): TargetDescription {
    const remainingMs = this.isDraining ? Math.max(0, this.leavesAtMs - this.#environment.clock.readMonotonicMs()) : undefined
    return {
      id: this.id,
      address: this.id,
      service: SERVICE,
      failureDomain: 'a',
      isDraining: this.isDraining,
      remainingMs,
      capacity: TARGET_CAPACITY,
      labels: [`r${this.#rack}`],
      startedAtMs: 1
    }
  }

  start (order: StartOrder): Result<OrderAnswer, OrderError> {
    const { clock } = this.#environment
    if (this.#environment.isAdvised(order.taskName)) {
      const ticket = order.ticket === undefined ? undefined : parseTicket(order.ticket)
      if (ticket === undefined || ticket.expiresAtMs < clock.readMonotonicMs()) return this.#refuse('invalidTicket')
    }
    if (order.validUntilMs <= clock.readMonotonicMs()) return this.#refuse('tooLate')
    if ((this.#closedRuns.get(order.taskName) ?? 0) >= order.run) return this.#refuse('outdatedRun')
    const run: ModelRun = {
      target: this,
      taskName: order.taskName,
      number: order.run,
      cpuMillis: this.#environment.readSize(order.taskName).cpuMillis,
      workingSinceMs: undefined
    }
    this.#runs.set(order.taskName, run)
    this.#environment.onStarted(run)
    return this.#acknowledge()
  }

  stop (order: StopOrder): Result<OrderAnswer, OrderError> {
    const run = this.#runs.get(order.taskName)
    if (run !== undefined && run.number <= order.run) this.endRun(run, 'stopped')
    this.#closedRuns.set(order.taskName, Math.max(order.run, this.#closedRuns.get(order.taskName) ?? 0))
    return this.#acknowledge()
  }

  /** Waits until a run has ended, at most as long as the order says, and reports all runs. */
  async poll (order: PollOrder): Promise<Result<TargetReport, OrderError>> {
    this.#ends = this.#ends.filter((end) => end.number > order.acknowledgedEnd)
    if (this.#ends.length === 0 && order.waitMs > 0) await this.#waitForEnd(order.waitMs)
    const running = [...this.#runs.values()].map((run) => ({
      taskName: run.taskName, run: run.number, checkpoint: '', percent: this.#readPercent(run)
    }))
    return Ok({ targetClockMs: this.#environment.clock.readMonotonicMs(), startedAtMs: 1, running, ended: [...this.#ends] })
  }

  endRun (run: ModelRun, outcome: RunOutcome): void {
    if (this.#runs.get(run.taskName) !== run) return
    this.#runs.delete(run.taskName)
    this.#closedRuns.set(run.taskName, run.number)
    this.#ends.push({ number: ++this.#endCount, taskName: run.taskName, run: run.number, outcome, checkpoint: '' })
    this.#environment.onEnded(run, outcome)
    for (const resume of this.#waiters.splice(0)) resume()
  }

  /** Ends all runs, as when the target leaves. */
  clear (): void {
    for (const run of [...this.#runs.values()]) this.endRun(run, 'lapsed')
  }

  /** Returns the cores of the runs that work. */
  sumWorkingCpuMillis (): number {
    let sum = 0
    for (const run of this.#runs.values()) if (run.workingSinceMs !== undefined) sum += run.cpuMillis
    return sum
  }

  /** Progress in percent, which changes as long as the run works. Its exact value isn't needed. */
  #readPercent (run: ModelRun): number {
    if (run.workingSinceMs === undefined) return 0
    return Math.min(99, 1 + Math.floor((this.#environment.clock.readMonotonicMs() - run.workingSinceMs) / 200))
  }

  async #waitForEnd (limitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = this.#environment.clock.startTimer(limitMs, resolve)
      this.#waiters.push(() => {
        timer.cancel()
        resolve()
      })
    })
  }

  #acknowledge (): Result<OrderAnswer, OrderError> {
    return Ok({ targetClockMs: this.#environment.clock.readMonotonicMs() })
  }

  #refuse (code: OrderError['code']): Result<never, OrderError> {
    return Err({ code, message: code, targetClockMs: this.#environment.clock.readMonotonicMs() })
  }
}
