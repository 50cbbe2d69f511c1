import { FakeClock } from '@hibiscusledge/runtime/fake-clock.js'
import { SilentEventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { SilentMetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import { SilentSpanRecorder } from '@hibiscusledge/runtime/silent-span-recorder.js'
import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import { toIncarnation, toInstanceId, type InstanceId, type UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { InMemoryStore } from '@hibiscusledge/store/in-memory-store.js'
import type { OwnershipDirectory, UnitOwner, UnitRole } from '@hibiscusledge/peer/ownership-directory.js'
import { PoolShardScheduler } from '@hibiscusledge/scheduling/pool-shard-scheduler.js'
import type { TargetKind } from '@hibiscusledge/scheduling/target.js'
import { ClusterRequestGateway } from '../src/cluster-request-gateway.js'
import type { DispatchContext } from '../src/dispatch-context.js'
import { CoordinatorRole } from '../src/coordinator-role.js'
import { ShardRole } from '../src/shard-role.js'
import { FakeNetworkHub } from './fake-network.js'
import { FakeTargets } from './fake-targets.js'
import { buildTables } from './fixtures.js'

export interface FakeInstance {
  readonly id: InstanceId
  readonly context: DispatchContext
  readonly store: InMemoryStore
  readonly roles: Array<{ readonly prefix: string, readonly role: UnitRole }>
  readonly listeners: Array<(unit: UnitId, owner: UnitOwner | undefined) => void>
  readonly gateway: ClusterRequestGateway
  hasAuthority: boolean
}

const STEP_MS = 10

/** Several instances with real roles on a fake clock, network and store. The test sets the owners of units. */
export class FakeCluster {
  readonly clock = new FakeClock()
  readonly store = new InMemoryStore(this.clock)
  readonly hub = new FakeNetworkHub(this.clock)
  readonly targets = new FakeTargets(this.clock)
  readonly instances = new Map<InstanceId, FakeInstance>()
  readonly #owners = new Map<UnitId, UnitOwner>()
  readonly #unlistedUnits = new Set<UnitId>()
  readonly #seed: number

  constructor (names: readonly string[], seed = 1) {
    this.#seed = seed
    names.forEach((name, index) => { this.#addInstance(toInstanceId(name), index) })
  }

  find (name: string): FakeInstance {
    const instance = this.instances.get(toInstanceId(name))
    if (instance === undefined) throw new Error(`no instance ${name}`)
    return instance
  }

  /** Records a new owner with the next epoch, stops the role of the former one and starts that of the new one. */
  async setOwner (unit: UnitId, name: string): Promise<UnitOwner> {
    const instance = toInstanceId(name)
    const former = this.#owners.get(unit)
    const epoch = (former?.epoch ?? 0) + 1
    const key = `hl/owner/${unit}`
    await this.store.commitTransaction({ comparisons: [], mutations: [{ type: 'put', key, value: `${name}@${epoch}` }] }, 'critical')
    const stored = await this.store.readKey(key, 'critical')
    const modRevision = stored.ok ? stored.val?.modRevision ?? 0 : 0
    const owner: UnitOwner = { instance, incarnation: toIncarnation(`${name}-1`), epoch, modRevision }
    this.#owners.set(unit, owner)
    if (former !== undefined) this.#findRole(former.instance, unit)?.stopUnit(unit)
    void this.#findRole(instance, unit)?.startUnit(unit, owner)
    for (const { id, listeners } of this.instances.values()) {
      if (!this.hub.isDead(id)) for (const listener of listeners) listener(unit, owner)
    }
    await this.clock.advanceBy(1)
    return owner
  }

  async prepareHandOver (unit: UnitId, successor: string): Promise<void> {
    const owner = this.#owners.get(unit)
    if (owner !== undefined) await this.#findRole(owner.instance, unit)?.prepareHandOver(unit, toInstanceId(successor))
  }

  /** Ends a prepared hand-over without a new owner, as after a write of the owner record that failed. */
  async resumeUnit (unit: UnitId): Promise<void> {
    const owner = this.#owners.get(unit)
    if (owner !== undefined) await this.#findRole(owner.instance, unit)?.resumeUnit(unit, owner)
  }

  /** Makes a unit look unowned in the directories of all instances. */
  removeFromDirectory (unit: UnitId): void {
    this.#unlistedUnits.add(unit)
  }

  restoreToDirectory (unit: UnitId): void {
    this.#unlistedUnits.delete(unit)
  }

  /** Makes an instance neither send nor receive messages, and its store calls fail. */
  kill (name: string): void {
    const instance = this.find(name)
    instance.hasAuthority = false
    instance.store.setDown(true)
    this.hub.kill(instance.id)
  }

  async advance (durationMs: number): Promise<void> {
    // Messages and commits need turns of the event loop, which the clock yields only between timers and steps.
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      await this.clock.advanceBy(Math.min(STEP_MS, durationMs - elapsedMs))
    }
  }

  #findRole (instance: InstanceId, unit: UnitId): UnitRole | undefined {
    return this.instances.get(instance)?.roles.find(({ prefix }) => unit.startsWith(prefix))?.role
  }

  #addInstance (id: InstanceId, index: number): void {
    const random = new SeededRandomSource(this.#seed * 100 + index)
    const store = this.store.createClient()
    const roles: FakeInstance['roles'] = []
    const listeners: FakeInstance['listeners'] = []
    const tables = buildTables()
    const context: DispatchContext = {
      store,
      network: this.hub.connect(id),
      ownership: this.#createDirectory(id, roles, listeners),
      loads: { setLocalLoadProvider: () => {}, findLoad: () => undefined },
      tables: { readCurrent: () => tables, subscribe: () => {} },
      clock: this.clock,
      random,
      logger: new SilentEventLogger(),
      metrics: new SilentMetricSink(),
      spans: new SilentSpanRecorder(random),
      outcomeRetentionMs: 86_400_000
    }
    const coordinators = new CoordinatorRole(context)
    const client = this.targets.createClient()
    const shards = new ShardRole(context, () => new PoolShardScheduler(), { executor: client, worker: client })
    shards.applyTargets(['a', 'b'].flatMap((domain) => [0, 1].flatMap((number) => (['executor', 'worker'] as const).map((kind) => buildListed(kind, domain, number)))))
    const gateway = new ClusterRequestGateway(context)
    this.instances.set(id, { id, context, store, roles, listeners, gateway, hasAuthority: true })
    // The role has registered itself with the network and the ownership directory, so no reference is kept.
    void coordinators
  }

  #createDirectory (id: InstanceId, roles: FakeInstance['roles'], listeners: FakeInstance['listeners']): OwnershipDirectory {
    const hasAuthority = (unit: UnitId): boolean => this.instances.get(id)?.hasAuthority === true && this.#owners.get(unit)?.instance === id
    return {
      findOwner: (unit) => this.#unlistedUnits.has(unit) ? undefined : this.#owners.get(unit),
      listUnits: () => [...this.#owners.keys()],
      hasAuthority,
      readAuthorityMs: (unit) => hasAuthority(unit) ? 1000 : 0,
      registerRole: (prefix, role) => { roles.push({ prefix, role }) },
      setShards: () => {},
      subscribe: (listener) => { listeners.push(listener) }
    }
  }
}

function buildListed (kind: TargetKind, domain: string, number: number): Parameters<ShardRole['applyTargets']>[0][number] {
  const isWorker = kind === 'worker'
  return {
    id: `${isWorker ? 'w' : 'e'}-${domain}-${number}`,
    kind,
    address: '127.0.0.1:1',
    state: 'live',
    failureDomain: domain,
    rack: 'r',
    labels: {},
    cores: isWorker ? 4 : 0,
    memoryMb: isWorker ? 64 : 0,
    accelerators: 0,
    slots: isWorker ? 0 : 2,
    connections: 8
  }
}
