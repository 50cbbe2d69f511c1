import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { Incarnation, InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import { AuthorityTracker } from './authority-tracker.js'
import { HeartbeatExchange, type DirectorySnapshot } from './heartbeat-exchange.js'
import { HeartbeatLoadDirectory } from './heartbeat-load-directory.js'
import type { HeartbeatNetwork } from './heartbeat-network.js'
import { MemberDirectory } from './member-directory.js'
import { MembershipManager } from './membership-manager.js'
import { OwnershipManager } from './ownership-manager.js'
import { DEFAULT_PEER_TIMINGS, type PeerTimings } from './peer-timings.js'
import { PromiseGranter } from './promise-granter.js'
import { StoreCache } from './store-cache.js'
import { ALIVE_PREFIX, LAYOUT_KEY, OWNER_PREFIX, TABLES_KEY, VIEW_PREFIX, type MemberRecord } from './store-records.js'
import { TableReplica } from './table-replica.js'
import { ViewManager } from './view-manager.js'
import { WebSocketPeerNetwork } from './web-socket-peer-network.js'

const MEMBERSHIP_UPDATE_PERIOD_MS = 250

export interface PeerNodeOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly listenHost: string
  /** With 0 the operating system chooses a port; useful only if `advertisedAddress` is empty. */
  readonly listenPort: number
  /** `host:port` at which peers reach this instance; empty for the listening address. */
  readonly advertisedAddress: string
  readonly failureDomain: string
  /** Addresses (`host:port`) of seed peers, from which members and tables are learned while the store is unreachable. */
  readonly seedAddresses: readonly string[]
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  /** Defaults: {@link DEFAULT_PEER_TIMINGS}. */
  readonly timings?: Partial<PeerTimings>
  /** Replaces the WebSocket network in tests. */
  readonly network?: HeartbeatNetwork
}

/** Reachability of the store from this instance. */
export type StoreState = 'reachable' | 'unreachable'

/** Cluster services of one instance: peer network, membership, ownership, loads and tables. */
export class PeerNode {
  readonly network: HeartbeatNetwork
  readonly ownership: OwnershipManager
  readonly loads: HeartbeatLoadDirectory
  readonly tables: TableReplica
  /** Members that the store lists or peers report. `#membershipManager` registers this instance among them. */
  readonly members: MemberDirectory
  readonly #options: PeerNodeOptions
  readonly #timings: PeerTimings
  readonly #webSocketNetwork: WebSocketPeerNetwork | undefined
  readonly #cache: StoreCache
  readonly #authority: AuthorityTracker
  readonly #membershipManager: MembershipManager
  /** Records which members must give this instance promises and may take over its units. */
  readonly #views: ViewManager
  readonly #selfRecord: { -readonly [Key in keyof MemberRecord]: MemberRecord[Key] }
  /** Monotonic time since which this process listens at the advertised address; undefined if an earlier process may still do so. */
  #listeningSinceMs: number | undefined
  #timers: Timer[] = []

  constructor (options: PeerNodeOptions) {
    const { store, clock, random, logger, metrics, self, incarnation, network } = options
    const timings = { ...DEFAULT_PEER_TIMINGS, ...options.timings }
    this.#options = options
    this.#timings = timings
    this.#selfRecord = {
      ...{ instance: self, incarnation, address: options.advertisedAddress, failureDomain: options.failureDomain },
      ...{ isDraining: false, startedAt: clock.readWallMs() }
    }
    this.#webSocketNetwork = network !== undefined
      ? undefined
      : new WebSocketPeerNetwork({ ...options, self: { instance: self, incarnation }, startedAtMs: this.#selfRecord.startedAt, timings })
    this.network = (network ?? this.#webSocketNetwork) as HeartbeatNetwork
    const prefixes = [ALIVE_PREFIX, VIEW_PREFIX, OWNER_PREFIX, LAYOUT_KEY, TABLES_KEY]
    this.#cache = new StoreCache(store, clock, logger, prefixes, timings.listingPeriodMs)
    this.#views = new ViewManager(store, clock, random, logger, this.#selfRecord)
    this.#authority = new AuthorityTracker(clock, logger, timings, () => this.#views.listRequiredMemberKeys())
    this.#membershipManager = new MembershipManager({
      store, cache: this.#cache, clock, random, logger, timings, authority: this.#authority, views: this.#views, self: this.#selfRecord
    })
    const promises = new PromiseGranter(clock)
    this.ownership = new OwnershipManager({
      ...{ store, cache: this.#cache, clock, random, logger, metrics, timings, network: this.network, authority: this.#authority },
      ...{ membershipManager: this.#membershipManager, views: this.#views, promises, self: this.#selfRecord },
      readListeningSinceMs: () => this.#listeningSinceMs
    })
    this.loads = new HeartbeatLoadDirectory(clock)
    this.tables = new TableReplica(this.network, this.#cache, logger, metrics)
    this.members = new MemberDirectory(this.#membershipManager, this.network, this.#selfRecord, () => this.readStoreState())
    // The exchange registers itself as the network's heartbeat provider and handler, so no reference is kept.
    const exchange = new HeartbeatExchange({
      ...{ clock, network: this.network, authority: this.#authority, promises, loads: this.loads, tables: this.tables },
      isStoreUnreachable: () => this.readStoreState() === 'unreachable',
      createDirectorySnapshot: () => this.#createDirectorySnapshot(),
      applyDirectorySnapshot: (snapshot) => this.#applyDirectorySnapshot(snapshot)
    })
    void exchange
  }

  /** Opens the listener and starts to join the cluster. Resolves without waiting for the store, which may be unreachable. */
  async start (): Promise<void> {
    const { clock, listenHost, advertisedAddress } = this.#options
    const port = await this.#webSocketNetwork?.start()
    if (port !== undefined && advertisedAddress === '') this.#selfRecord.address = `${listenHost}:${port}`
    // While this process listens on the advertised port, no earlier process at the same address can still run. When another
    // port is advertised, as behind a port mapping, one could. A test network has no port.
    if (port === undefined || this.#selfRecord.address.endsWith(`:${port}`)) this.#listeningSinceMs = clock.readMonotonicMs()
    this.#authority.start()
    this.#cache.start()
    this.#membershipManager.start()
    this.ownership.start()
    this.#timers = [
      clock.startInterval(MEMBERSHIP_UPDATE_PERIOD_MS, () => this.#updateAddresses()),
      clock.startInterval(MEMBERSHIP_UPDATE_PERIOD_MS, () => this.#updateView())
    ]
    this.#cache.subscribe((keys) => { if (keys.some((key) => key.startsWith(ALIVE_PREFIX))) this.#updateAddresses() })
  }

  /** Marks this instance as draining and hands over all units. Resolves once it holds none, which a store outage delays. */
  async drain (): Promise<void> {
    this.#membershipManager.markDraining()
    await this.ownership.drain()
  }

  /** First stops acting as an owner, then revokes the lease, then closes the links and the listener. */
  async stop (): Promise<void> {
    this.#authority.stop()
    this.ownership.stop()
    for (const timer of this.#timers) timer.cancel()
    await this.#membershipManager.stop()
    this.#cache.stop()
    await this.#webSocketNetwork?.stop()
  }

  /** Returns `unreachable` when the store has not responded for as long as a lease lasts. */
  readStoreState (): StoreState {
    const contactAgeMs = this.#options.clock.readMonotonicMs() - this.#cache.readLastContactMs()
    return contactAgeMs < this.#timings.leaseTtlMs ? 'reachable' : 'unreachable'
  }

  /** Returns the milliseconds since the last response of the store; null before the first one. */
  readStoreContactAgeMs (): number | null {
    const contactMs = this.#cache.readLastContactMs()
    return Number.isFinite(contactMs) ? this.#options.clock.readMonotonicMs() - contactMs : null
  }

  #updateAddresses (): void {
    const others = this.members.listRecords().filter((record) => record.instance !== this.#options.self)
    this.network.setAddresses(new Map(others.map((record) => [record.instance, record.address])))
  }

  #updateView (): void {
    const registration = this.#membershipManager.readRegistration()
    if (registration === undefined || this.readStoreState() === 'unreachable') return
    void this.#views.updateView(registration, this.#membershipManager.listMemberRecords(), (member) => this.#authority.hasPromise(member))
  }

  #createDirectorySnapshot (): DirectorySnapshot {
    const registry = this.ownership.readRegistry()
    return { members: this.members.listRecords(), owners: registry.listGossip(), partitions: registry.readPartitionCount() }
  }

  #applyDirectorySnapshot (snapshot: DirectorySnapshot): void {
    this.members.applyGossip(snapshot.members)
    this.ownership.readRegistry().applyGossip(snapshot.owners, snapshot.partitions)
    this.#updateAddresses()
  }
}
