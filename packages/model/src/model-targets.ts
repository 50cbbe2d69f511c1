import type { Resources } from '@hibiscusledge/jobs/job.js'
import type { TargetDescription, TargetDirectory, TargetGateway } from '@hibiscusledge/jobs/target-gateway.js'
import { parseTaskName, type RunOutcome } from '@hibiscusledge/jobs/task-run.js'
import type { ModelJob } from './job-source.js'
import { ModelTarget, TARGET_CAPACITY, type TargetEnvironment, type ModelRun } from './model-target.js'
import type { VirtualClock } from './virtual-clock.js'

/** Time of an order or an answer on its way, including the delegate that passes it on. */
const ORDER_LATENCY_MS = 4
const LIST_PERIOD_MS = 400
/** Time that the members of a gang wait for each other. */
const GANG_WAIT_MS = 4_000
/** Speeds of the targets, in turn. */
const SPEEDS = [0.8, 1, 1.25]

const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Work of the targets, in millicore milliseconds. */
export interface TargetWork {
  done: number
  /** Work of runs that did not end as done. */
  discarded: number
  /** Capacity held by members of gangs that wait for the others. */
  waited: number
}

/** All targets of an experiment. Tasks last as long as their job says, whatever their estimates are. */
export class ModelTargets implements TargetEnvironment {
  readonly clock: VirtualClock
  readonly targets: readonly ModelTarget[]
  readonly work: TargetWork = { done: 0, discarded: 0, waited: 0 }
  readonly #jobs: ReadonlyMap<string, ModelJob>
  /** Runs of incomplete gangs by step and run number. */
  readonly #gangs = new Map<string, ModelRun[]>()
  readonly #startedAtMs = new Map<ModelRun, number>()

  constructor (clock: VirtualClock, count: number, jobs: ReadonlyMap<string, ModelJob>) {
    this.clock = clock
    this.#jobs = jobs
    this.targets = Array.from({ length: count }, (_, index) => new ModelTarget(index, SPEEDS[index % SPEEDS.length] ?? 1, this))
  }

  /** Share of all cores that do work now. */
  readBusyShare (): number {
    const busy = this.targets.reduce((sum, target) => sum + target.sumWorkingCpuMillis(), 0)
    return busy / (this.targets.length * TARGET_CAPACITY.cpuMillis)
  }

  readSize (taskName: string): Resources {
    return this.#findStep(taskName)?.size ?? NO_RESOURCES
  }

  isAdvised (taskName: string): boolean {
    const key = parseTaskName(taskName)
    return key === undefined || this.#jobs.get(key.jobId)?.kind.advice !== undefined
  }

  onStarted (run: ModelRun): void {
    this.#startedAtMs.set(run, this.clock.readMonotonicMs())
    const step = this.#findStep(run.taskName)
    if (step === undefined) return
    if (!step.isGang) return this.#beginWork([run])
    const key = `${run.taskName.slice(0, run.taskName.lastIndexOf('.'))}#${run.number}`
    const members = [...this.#gangs.get(key) ?? [], run]
    this.#gangs.set(key, members)
    if (members.length === step.taskCount) return this.#beginWork(members)
    this.clock.startTimer(GANG_WAIT_MS, () => { if (run.workingSinceMs === undefined) run.target.endRun(run, 'alone') })
  }

  onEnded (run: ModelRun, outcome: RunOutcome): void {
    const nowMs = this.clock.readMonotonicMs()
    const startedAtMs = this.#startedAtMs.get(run) ?? nowMs
    this.#startedAtMs.delete(run)
    const workedMs = nowMs - (run.workingSinceMs ?? nowMs)
    this.work[outcome === 'done' ? 'done' : 'discarded'] += workedMs * run.cpuMillis
    this.work.waited += (nowMs - startedAtMs - workedMs) * run.cpuMillis
  }

  createGateway (): TargetGateway {
    const byId = new Map(this.targets.map((target) => [target.id, target]))
    const call = async <Answer>(id: string, run: (target: ModelTarget) => Answer | Promise<Answer>): Promise<Answer> => {
      const target = byId.get(id)
      if (target === undefined) throw new Error(`there is no target ${id}`)
      await this.clock.wait(ORDER_LATENCY_MS)
      const answer = await run(target)
      await this.clock.wait(ORDER_LATENCY_MS)
      return answer
    }
    return {
      startRun: async ({ id }, order) => await call(id, (target) => target.start(order)),
      stopRun: async ({ id }, order) => await call(id, (target) => target.stop(order)),
      fetchReport: async ({ id }, order) => await call(id, async (target) => await target.poll(order)),
      removeTarget: () => {}
    }
  }

  createDirectory (): TargetDirectory {
    let timer: { cancel: () => void } | undefined
    const listTargets = (): TargetDescription[] => {
      const nowMs = this.clock.readMonotonicMs()
      return this.targets.filter((target) => target.leavesAtMs > nowMs).map((target) => target.describe())
    }
    return {
      subscribe: (handler) => {
        handler.onTargets(listTargets())
        timer = this.clock.startInterval(LIST_PERIOD_MS, () => handler.onTargets(listTargets()))
      },
      stop: () => timer?.cancel()
    }
  }

  /** Lets this share of the targets drain and leave. */
  drainShare (share: number, noticeMs: number): void {
    for (const target of this.#selectShare(share)) {
      target.isDraining = true
      target.leavesAtMs = this.clock.readMonotonicMs() + noticeMs
      this.clock.startTimer(noticeMs, () => target.clear())
    }
  }

  /** Sets the factor on the duration of the tasks that begin from now on, for this share of the targets. */
  throttleShare (share: number, factor: number): void {
    for (const target of this.#selectShare(share)) target.slowdown = factor
  }

  #selectShare (share: number): readonly ModelTarget[] {
    const stride = Math.max(1, Math.round(1 / share))
    return this.targets.filter((_, index) => index % stride === 0)
  }

  /** The members of a gang end together, when the slowest one is done. */
  #beginWork (members: readonly ModelRun[]): void {
    const nowMs = this.clock.readMonotonicMs()
    const durationMs = Math.max(...members.map((run) => this.#readDurationMs(run)))
    for (const run of members) run.workingSinceMs = nowMs
    this.clock.startTimer(durationMs, () => { for (const run of members) run.target.endRun(run, 'done') })
  }

  #readDurationMs ({ taskName, target }: ModelRun): number {
    const key = parseTaskName(taskName)
    const durationMs = key === undefined ? undefined : this.#jobs.get(key.jobId)?.durationsMs[key.step]
    return (durationMs ?? 0) * target.slowdown / target.speed
  }

  #findStep (taskName: string): ModelJob['job']['steps'][number] | undefined {
    const key = parseTaskName(taskName)
    return key === undefined ? undefined : this.#jobs.get(key.jobId)?.job.steps[key.step]
  }
}
