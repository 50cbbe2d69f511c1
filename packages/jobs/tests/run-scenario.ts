import type { EventLogger, LogFields } from '@hibiscusledge/runtime/event-logger.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { parseTaskName } from '../src/task-run.js'
import { FakeJobCell } from './fake-job-cell.js'
import { FAULT_WINDOW_MS, type FaultPlan, type JobPlan, type Scenario } from './fault-scenario.js'
import { createJob, createStep } from './job-fixtures.js'
import { findRunViolations, type FoundViolation, type SubmittedJob } from './run-checker.js'
import { RunHistory } from './run-history.js'
import { SimulatedFleet } from './simulated-fleet.js'
import { formatPair, NO_NETWORK_FAULTS, SimulatedNetwork } from './simulated-network.js'

const CAPACITY = { cpuMillis: 4_000, memoryMb: 64_000, accelerators: 0 }
const NO_RESOURCES = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
const MAXIMUM_STOP_MS = 500
const CLOCK_DRIFT_SHARE = 0.02
/** All jobs complete within this time after the last fault. */
const COMPLETION_BOUND_MS = 40_000

export interface ScenarioResult {
  readonly violations: readonly FoundViolation[]
  readonly trace: readonly string[]
}

/** Runs a scenario with real job services on a fake clock. */
class ScenarioRunner {
  readonly #scenario: Scenario
  readonly #cell = new FakeJobCell(0)
  readonly #history = new RunHistory(() => this.#cell.clock.readMonotonicMs())
  readonly #jobs = new Map<string, SubmittedJob>()
  readonly #fleet: SimulatedFleet
  readonly #network: SimulatedNetwork

  constructor (scenario: Scenario) {
    this.#scenario = scenario
    const { clock } = this.#cell
    const random = new SeededRandomSource(scenario.seed)
    this.#fleet = new SimulatedFleet(scenario.targetCount, {
      clock,
      history: this.#history,
      capacity: CAPACITY,
      checksCapacity: scenario.checksCapacity,
      readSize: (taskName) => this.#findStep(taskName)?.size ?? NO_RESOURCES,
      readDurationMs: (taskName) => this.#findStep(taskName)?.estimatedMs ?? 0,
      drawStopMs: () => random.drawInteger(MAXIMUM_STOP_MS)
    }, () => 1 - CLOCK_DRIFT_SHARE * random.drawFraction())
    this.#network = new SimulatedNetwork(clock, random, this.#fleet)
  }

  async run (): Promise<ScenarioResult> {
    const { clock } = this.#cell
    for (let index = 0; index < this.#scenario.instanceCount; index++) this.#addInstance(`i${index}`)
    await this.#cell.advanceUntil(() => this.#cell.findOwner() !== undefined, 2_000)
    this.#network.faults = this.#scenario.network
    this.#scenario.jobs.forEach((plan, index) => clock.startTimer(plan.atMs, () => { void this.#submitJob(`j${index}`, plan) }))
    for (const plan of this.#scenario.faults) clock.startTimer(plan.atMs, () => this.#injectFault(plan))
    await clock.advanceBy(FAULT_WINDOW_MS)
    this.#network.faults = NO_NETWORK_FAULTS
    this.#history.log('the network has no faults any more')
    await this.#cell.advanceUntil(() => this.#listOpenJobs().length === 0 && this.#fleet.countRuns() === 0, COMPLETION_BOUND_MS)
    const open = this.#listOpenJobs().map((id) => ({ kind: 'notCompleted', detail: id } as const))
    for (const { service } of [...this.#cell.instances]) service.stop()
    return { violations: [...findRunViolations(this.#history, this.#jobs), ...open], trace: this.#history.trace }
  }

  #addInstance (name: string): void {
    this.#cell.addInstance(undefined, {
      targetGateway: this.#network.createGateway(name),
      directory: this.#fleet.createDirectory(),
      logger: this.#createLogger(name)
    })
  }

  async #submitJob (id: string, { taskCount, durationMs, cpuMillis }: JobPlan): Promise<void> {
    const step = createStep({ taskCount, estimatedMs: durationMs, size: { ...NO_RESOURCES, cpuMillis, memoryMb: 1 } })
    const submitted: SubmittedJob = {
      job: createJob(id, [step]), outcome: undefined, cancelRequestedAtMs: undefined, cancelledAtMs: undefined
    }
    this.#jobs.set(id, submitted)
    const nowMs = this.#cell.clock.readMonotonicMs()
    const [instance] = this.#cell.instances
    submitted.outcome = await instance?.service.acceptJob(submitted.job, { refuseAtMs: nowMs + 1_000, giveUpAtMs: nowMs + 2_000 })
  }

  #injectFault (plan: FaultPlan): void {
    const id = `t${plan.target}`
    if (plan.kind === 'restart') return this.#fleet.restart(id, plan)
    if (plan.kind === 'unlist') return this.#fleet.removeFromListing(id, plan.durationMs)
    for (const { name } of this.#cell.instances) {
      this.#network.cuts.add(formatPair(name, id))
      this.#cell.clock.startTimer(plan.durationMs, () => { this.#network.cuts.delete(formatPair(name, id)) })
    }
  }

  /** Lists the accepted jobs that have neither been completed at the targets nor been cancelled. */
  #listOpenJobs (): string[] {
    const done = new Set(this.#history.runs.filter(({ outcome }) => outcome === 'done').map(({ taskName }) => taskName))
    return [...this.#jobs].filter(([id, { job, outcome, cancelRequestedAtMs }]) => {
      if (outcome !== 'stored' || cancelRequestedAtMs !== undefined) return false
      return job.steps.some((step, stepIndex) => Array.from({ length: step.taskCount }, (_, index) => `${id}.0.${stepIndex}.${index}`)
        .some((taskName) => !done.has(taskName)))
    }).map(([id]) => id)
  }

  #findStep (taskName: string): { readonly size: typeof NO_RESOURCES, readonly estimatedMs: number } | undefined {
    const key = parseTaskName(taskName)
    return key === undefined ? undefined : this.#jobs.get(key.jobId)?.job.steps[key.step]
  }

  #createLogger (name: string): EventLogger {
    const log = (event: string, fields: LogFields = {}): void => this.#history.log(`${name} logs ${event} ${JSON.stringify(fields)}`)
    return { logInfo: log, logWarning: log, logError: log }
  }
}

/** Runs a scenario and returns the broken guarantees, with a trace of what happened. */
export async function runScenario (scenario: Scenario): Promise<ScenarioResult> {
  return await new ScenarioRunner(scenario).run()
}
