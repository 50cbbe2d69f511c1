import type { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { Resources } from '../src/job.js'
import type {
  ReportedEnd, PollOrder, OrderAnswer, OrderError, StartOrder, StopOrder, TargetDescription, TargetDirectory, TargetDirectoryHandler,
  TargetEndpoint, TargetGateway, TargetReport
} from '../src/target-gateway.js'
import type { RunOutcome } from '../src/task-run.js'

const CAPACITY: Resources = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 }
const ANSWER_MS = 2

interface FakeRun { readonly order: StartOrder, readonly startedAtMs: number, readonly durationMs: number }

/** A violation of a guarantee, as observed by the fake executors. */
export interface Violation { readonly kind: 'doubleRun' | 'startAfterDone' | 'overCapacity', readonly detail: string }

/** Faults injected into a target and into the calls to it. */
export interface TargetFaults {
  /** No order reaches the target. */
  isUnreachable: boolean
  /** Start orders are carried out, but their answers are lost. */
  losesAnswers: boolean
  /** Start orders get no answer and are carried out after this time; 0 when there is no delay. */
  startDelayMs: number
  /** Whether the answer to this poll is lost. */
  losesPollAnswer: () => boolean
  failsAll: boolean
  hangs: boolean
  /** Factor applied to the duration of the tasks that start from now on. */
  slowdown: number
}

/** A fake executor that follows the platform's rules for fencing tokens, runs, leases and ended runs. */
export class FakeTarget {
  readonly faults: TargetFaults = {
    isUnreachable: false, losesAnswers: false, startDelayMs: 0, losesPollAnswer: () => false, failsAll: false, hangs: false, slowdown: 1
  }

  readonly runs = new Map<string, FakeRun>()
  isDraining = false
  remainingMs: number | undefined
  startedAtMs = 1
  #fencingToken = 0
  #leaseUntilMs = 0
  #ends: ReportedEnd[] = []
  #endCount = 0
  readonly #closedRuns = new Map<string, number>()
  #clockOriginMs: number
  #incarnation = 0
  readonly #cluster: FakeTargets

  constructor (readonly id: string, cluster: FakeTargets) {
    this.#cluster = cluster
    this.#clockOriginMs = cluster.clock.readMonotonicMs()
  }

  describe (): TargetDescription {
    return {
      id: this.id,
      address: this.id,
      service: 'ledger',
      failureDomain: 'a',
      isDraining: this.isDraining,
      remainingMs: this.isDraining ? this.remainingMs : undefined,
      capacity: CAPACITY,
      labels: ['a', 'r1'],
      startedAtMs: this.startedAtMs
    }
  }

  readClockMs (): number {
    return Math.floor(this.#cluster.clock.readMonotonicMs() - this.#clockOriginMs)
  }

  /** Restarts the target under the same id, without its runs and its state. */
  restart (): void {
    this.#incarnation++
    this.startedAtMs++
    this.#clockOriginMs = this.#cluster.clock.readMonotonicMs()
    this.runs.clear()
    this.#closedRuns.clear()
    this.#ends = []
    this.#endCount = 0
    this.#fencingToken = 0
    this.#leaseUntilMs = 0
  }

  start (order: StartOrder): Result<OrderAnswer, OrderError> {
    if (order.fencingToken < this.#fencingToken) return this.#refuse('fenced')
    this.#fencingToken = order.fencingToken
    if (order.validUntilMs <= this.readClockMs()) return this.#refuse('tooLate')
    if (this.runs.get(order.taskName)?.order.run === order.run) return this.#acknowledge()
    if ((this.#closedRuns.get(order.taskName) ?? 0) >= order.run) return this.#refuse('outdatedRun')
    this.#extendLease(order.validUntilMs)
    const size = this.#cluster.readSize(order.taskName)
    this.#cluster.recordStart(this, order)
    const durationMs = this.#cluster.readDuration(order.taskName) * this.faults.slowdown
    const run: FakeRun = { order, startedAtMs: this.#cluster.clock.readMonotonicMs(), durationMs }
    this.runs.set(order.taskName, run)
    const used = [...this.runs.keys()].reduce((sum, name) => sum + this.#cluster.readSize(name).cpuMillis, 0)
    if (used > CAPACITY.cpuMillis) this.#cluster.violations.push({ kind: 'overCapacity', detail: `${this.id} ${used} after ${size.cpuMillis}` })
    const startedIn = this.#incarnation
    if (!this.faults.hangs) this.#cluster.clock.startTimer(run.durationMs, () => { if (startedIn === this.#incarnation) this.#finish(run) })
    return this.#acknowledge()
  }

  stop (order: StopOrder): Result<OrderAnswer, OrderError> {
    if (order.fencingToken < this.#fencingToken) return this.#refuse('fenced')
    this.#fencingToken = order.fencingToken
    const run = this.runs.get(order.taskName)
    if (run !== undefined && run.order.run <= order.run) this.#end(run, 'stopped')
    this.#closedRuns.set(order.taskName, Math.max(order.run, this.#closedRuns.get(order.taskName) ?? 0))
    return this.#acknowledge()
  }

  poll (order: PollOrder): Result<TargetReport, OrderError> {
    if (order.fencingToken < this.#fencingToken) return this.#refuse('fenced')
    this.#fencingToken = order.fencingToken
    this.expireLease()
    if (order.leaseUntilMs !== undefined) this.#extendLease(order.leaseUntilMs)
    for (const end of this.#ends) if (end.number <= order.acknowledgedEnd && end.outcome === 'done') this.#cluster.doneTasks.add(end.taskName)
    this.#ends = this.#ends.filter((end) => end.number > order.acknowledgedEnd)
    const running = [...this.runs.values()].map(({ order: { taskName, run }, startedAtMs, durationMs }) => ({
      taskName,
      run,
      checkpoint: '',
      percent: this.faults.hangs ? 0 : Math.min(99, Math.floor((this.#cluster.clock.readMonotonicMs() - startedAtMs) * 100 / durationMs))
    }))
    return Ok({ targetClockMs: this.readClockMs(), startedAtMs: this.startedAtMs, running, ended: [...this.#ends] })
  }

  hasEnds (order: PollOrder): boolean {
    return this.#ends.some((end) => end.number > order.acknowledgedEnd)
  }

  expireLease (): void {
    if (this.readClockMs() < this.#leaseUntilMs) return
    for (const run of [...this.runs.values()]) this.#end(run, 'lapsed')
  }

  #finish (run: FakeRun): void {
    this.expireLease()
    if (this.runs.get(run.order.taskName) !== run) return
    this.#end(run, this.faults.failsAll || this.#cluster.failingTasks.has(run.order.taskName) ? 'failed' : 'done')
  }

  #end (run: FakeRun, outcome: RunOutcome): void {
    this.runs.delete(run.order.taskName)
    this.#closedRuns.set(run.order.taskName, Math.max(run.order.run, this.#closedRuns.get(run.order.taskName) ?? 0))
    this.#ends.push({ number: ++this.#endCount, taskName: run.order.taskName, run: run.order.run, outcome, checkpoint: '' })
    this.#cluster.notifyPolls()
  }

  #extendLease (untilMs: number): void {
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, untilMs)
  }

  #acknowledge (): Result<OrderAnswer, OrderError> {
    return Ok({ targetClockMs: this.readClockMs() })
  }

  #refuse (code: OrderError['code']): Result<never, OrderError> {
    return Err({ code, message: code, targetClockMs: this.readClockMs() })
  }
}

/** A set of fake executors, with their directory and the gateways to them. Several owners may use it at once. */
export class FakeTargets {
  readonly targets = new Map<string, FakeTarget>()
  readonly violations: Violation[] = []
  /** Tasks whose outcome `done` was acknowledged. */
  readonly doneTasks = new Set<string>()
  readonly failingTasks = new Set<string>()
  readonly starts: { readonly taskName: string, readonly run: number, readonly targetId: string, readonly atMs: number }[] = []
  #waiters: (() => void)[] = []

  constructor (
    readonly clock: FakeClock,
    count: number,
    readonly readSize: (taskName: string) => Resources,
    readonly readDuration: (taskName: string) => number
  ) {
    for (let index = 0; index < count; index++) this.targets.set(`t${index}`, new FakeTarget(`t${index}`, this))
    clock.startInterval(50, () => { for (const target of this.targets.values()) target.expireLease() })
  }

  /** Adds a target that the directory lists from now on. */
  add (id: string): void {
    this.targets.set(id, new FakeTarget(id, this))
  }

  get (id: string): FakeTarget {
    const target = this.targets.get(id)
    if (target === undefined) throw new Error(`there is no target ${id}`)
    return target
  }

  notifyPolls (): void {
    for (const resume of this.#waiters.splice(0)) resume()
  }

  recordStart (target: FakeTarget, order: StartOrder): void {
    for (const other of this.targets.values()) {
      if (other.runs.has(order.taskName)) this.violations.push({ kind: 'doubleRun', detail: `${order.taskName} on ${other.id} and ${target.id}` })
    }
    if (this.doneTasks.has(order.taskName)) this.violations.push({ kind: 'startAfterDone', detail: order.taskName })
    this.starts.push({ taskName: order.taskName, run: order.run, targetId: target.id, atMs: this.clock.readMonotonicMs() })
  }

  /** Creates the gateway of one instance. `isUnreachable` cuts this instance off from all targets. */
  createGateway (): TargetGateway & { isUnreachable: boolean } {
    const cluster = this
    return {
      isUnreachable: false,
      async startRun (endpoint: TargetEndpoint, order: StartOrder) {
        const target = cluster.targets.get(endpoint.id)
        if (this.isUnreachable || target === undefined || target.faults.isUnreachable) return await cluster.expireCall(500)
        const { startDelayMs } = target.faults
        if (startDelayMs > 0) {
          cluster.clock.startTimer(startDelayMs, () => { target.start(order) })
          return await cluster.expireCall(500)
        }
        await cluster.wait(ANSWER_MS)
        const answer = target.start(order)
        return target.faults.losesAnswers ? await cluster.expireCall(500) : answer
      },
      async stopRun (endpoint: TargetEndpoint, order: StopOrder) {
        const target = cluster.targets.get(endpoint.id)
        if (this.isUnreachable || target === undefined || target.faults.isUnreachable) return await cluster.expireCall(500)
        await cluster.wait(ANSWER_MS)
        return target.stop(order)
      },
      async fetchReport (endpoint: TargetEndpoint, order: PollOrder) {
        const target = cluster.targets.get(endpoint.id)
        if (this.isUnreachable || target === undefined || target.faults.isUnreachable) return await cluster.expireCall(order.waitMs + 600)
        await cluster.wait(ANSWER_MS)
        const endMs = cluster.clock.readMonotonicMs() + order.waitMs
        const first = target.poll(order)
        if (first.err) return first
        while (!target.hasEnds(order) && cluster.clock.readMonotonicMs() < endMs) await cluster.waitForEnd(endMs)
        if (target.faults.losesPollAnswer()) return await cluster.expireCall(endMs - cluster.clock.readMonotonicMs() + 600)
        return target.poll({ ...order, leaseUntilMs: undefined })
      },
      removeTarget () {}
    }
  }

  createDirectory (): TargetDirectory {
    let timer: { cancel: () => void } | undefined
    return {
      follow: (handler: TargetDirectoryHandler) => {
        handler.onTargets(this.#describeAll())
        timer = this.clock.startInterval(250, () => handler.onTargets(this.#describeAll()))
      },
      stop: () => timer?.cancel()
    }
  }

  async wait (durationMs: number): Promise<void> {
    await new Promise<void>((resolve) => { this.clock.startTimer(durationMs, resolve) })
  }

  async waitForEnd (endMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#waiters.push(resolve)
      this.clock.startTimer(endMs - this.clock.readMonotonicMs(), resolve)
    })
  }

  async expireCall (durationMs: number): Promise<Result<never, OrderError>> {
    await this.wait(durationMs)
    return Err({ code: 'noAnswer', message: 'no answer in time' })
  }

  #describeAll (): TargetDescription[] {
    return [...this.targets.values()].map((target) => target.describe())
  }
}
