import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { Ok } from '@hibiscusledge/runtime/result.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import { AccountTable } from '../src/accounts/account-table.js'
import type { AdviceGateway } from '../src/advice-gateway.js'
import type { Job, Resources } from '../src/job.js'
import { JobService, type JobServiceOptions } from '../src/job-service.js'
import { createOwnerTimings } from '../src/owner-timings.js'
import type { TargetGateway } from '../src/target-gateway.js'
import { parseTaskName } from '../src/task-run.js'
import { FakeMesh } from './fake-peer-network.js'
import { FakeTargets } from './fake-targets.js'

const MAXIMUM_LEASE_MS = 6_000
/** As on the smallest machine. */
const MAXIMUM_HELD_BYTES = 8_800_000
const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** One instance with its own client of the store and its own gateway to the targets. */
export interface FakeInstance {
  readonly name: string
  readonly service: JobService
  readonly store: InMemoryStore
  readonly gateway: TargetGateway & { isUnreachable: boolean }
  /** Stops the instance's process abruptly, as SIGKILL does. */
  kill: () => void
  /** Stops the instance together with its machine, which then refuses no connections. */
  powerOff: () => void
}

/** Several instances of the job service with an in-memory store and fake targets, on a clock that the test advances. */
export class FakeJobCell {
  readonly clock = new FakeClock()
  readonly store = new InMemoryStore(this.clock)
  readonly mesh = new FakeMesh()
  readonly instances: FakeInstance[] = []
  readonly targets: FakeTargets
  readonly jobs = new Map<string, Job>()
  /** Client accounts of the configuration that all instances have. */
  accounts = new AccountTable()
  /** Names of instances whose process has ended while their machine still refuses connections. */
  readonly #ended = new Set<string>()
  #instanceCount = 0

  constructor (targetCount: number) {
    this.targets = new FakeTargets(this.clock, targetCount, (name) => this.#readSize(name), (name) => this.#readDuration(name))
  }

  /** Starts an instance. `createOverrides` replaces dependencies of its job service. */
  addInstance (
    advice?: AdviceGateway, createOverrides: (name: string, store: InMemoryStore) => Partial<JobServiceOptions> = () => ({})
  ): FakeInstance {
    const name = `i${this.#instanceCount++}`
    const store = this.store.createClient()
    const gateway = this.targets.createGateway()
    const service = new JobService({
      instance: name,
      peerAddress: name,
      incarnation: name,
      cores: 1,
      clock: this.clock,
      random: new SeededRandomSource(this.#instanceCount),
      logger: new SilentEventLogger(),
      metrics: new SilentMetricSink(),
      store,
      network: this.mesh.createNetwork(name),
      probe: { isConnectionRefused: async (address) => this.#ended.has(address) },
      targetGateway: gateway,
      directory: this.targets.createDirectory(),
      advice,
      timings: createOwnerTimings(MAXIMUM_LEASE_MS),
      retentionMs: 120_000,
      readAccounts: () => this.accounts,
      maximumHeldBytes: MAXIMUM_HELD_BYTES,
      ...createOverrides(name, store)
    })
    service.start()
    const instance: FakeInstance = {
      name,
      service,
      store,
      gateway,
      powerOff: () => {
        instance.kill()
        this.#ended.delete(name)
      },
      kill: () => {
        service.stop()
        this.#ended.add(name)
        store.setDown(true)
        gateway.isUnreachable = true
        this.mesh.removeNetwork(name)
        this.instances.splice(this.instances.indexOf(instance), 1)
      }
    }
    this.instances.push(instance)
    return instance
  }

  /** Submits a job to an instance, advances the clock and returns the outcome. To the targets its tasks are those of `work`. */
  async submit (instance: FakeInstance, job: Job, work = job): Promise<string> {
    this.jobs.set(job.id, work)
    const nowMs = this.clock.readMonotonicMs()
    const pending = instance.service.acceptJob(job, { refuseAtMs: nowMs + 1_000, giveUpAtMs: nowMs + 2_000 })
    for (let step = 0; step < 3; step++) await this.clock.advanceBy(5)
    const waited = await Promise.race([pending, Promise.resolve('pending' as const)])
    if (waited !== 'pending') return waited
    await this.clock.advanceBy(3_000)
    return await pending
  }

  async readState (instance: FakeInstance, id: string): Promise<string | undefined> {
    const pending = instance.service.readState(id)
    await this.clock.advanceBy(5)
    const state = await pending
    return state.ok ? state.val : `error: ${state.val}`
  }

  /** Advances the clock until the condition holds. Returns false when it doesn't hold within the limit. */
  async advanceUntil (condition: () => boolean | Promise<boolean>, limitMs: number): Promise<boolean> {
    for (let passedMs = 0; passedMs < limitMs; passedMs += 20) {
      if (await condition()) return true
      await this.clock.advanceBy(20)
    }
    return await condition()
  }

  findOwner (): FakeInstance | undefined {
    return this.instances.find((instance) => instance.service.isOwner())
  }

  #readSize (taskName: string): Resources {
    const key = parseTaskName(taskName)
    return (key === undefined ? undefined : this.jobs.get(key.jobId)?.steps[key.step]?.size) ?? NO_RESOURCES
  }

  #readDuration (taskName: string): number {
    const key = parseTaskName(taskName)
    return (key === undefined ? undefined : this.jobs.get(key.jobId)?.steps[key.step]?.estimatedMs) ?? 0
  }
}

/** Starts a cell and waits until one of its instances has become the owner. */
export async function startCell (instanceCount = 3, targetCount = 4): Promise<FakeJobCell> {
  const cell = new FakeJobCell(targetCount)
  for (let index = 0; index < instanceCount; index++) cell.addInstance()
  await cell.advanceUntil(() => cell.findOwner() !== undefined, 2_000)
  await cell.clock.advanceBy(100)
  return cell
}

/** Creates a gateway to a policy service that permits the targets for which the predicate holds. */
export function createAdviceGateway (isPermitted: (stepName: string, targetId: string) => boolean): AdviceGateway {
  return {
    fetchAdvice: async (stepName, targetIds) => {
      const permitted = targetIds.filter((id) => isPermitted(stepName, id))
      return Ok(permitted.map((targetId) => ({ targetId, ticket: `ticket-${targetId}` })))
    }
  }
}
