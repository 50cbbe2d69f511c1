import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { Incarnation, InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { MetricSink } from '@hibiscusledge/runtime/metric-sink.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import { AuthorityKeeper } from './authority-keeper.js'
import { HeartbeatExchange, type PeerDirectory } from './heartbeat-exchange.js'
import { HeartbeatLoadDirectory } from './heartbeat-load-directory.js'
import type { HeartbeatNetwork } from './heartbeat-network.js'
import { MemberDirectory } from './member-directory.js'
import { MembershipKeeper } from './membership-keeper.js'
import { OwnershipManager } from './ownership-manager.js'
import { DEFAULT_PEER_TIMINGS, type PeerTimings } from './peer-timings.js'
import { PromiseLedger } from './promise-ledger.js'
import { StoreCache } from './store-cache.js'
import { ALIVE_PREFIX, LAYOUT_KEY, OWNER_PREFIX, TABLES_KEY, VIEW_PREFIX, type AliveRecord } from './store-records.js'
import { TableReplica } from './table-replica.js'
import { ViewKeeper } from './view-keeper.js'
import { WebSocketPeerNetwork } from './web-socket-peer-network.js'

const ADDRESS_PERIOD_MS = 250

export interface PeerNodeOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly listenHost: string
  /** 0 lets the operating system choose, which is only of use when `advertisedAddress` is empty. */
  readonly listenPort: number
  /** `host:port` under which peers reach this instance; empty for the listening address. */
  readonly advertisedAddress: string
  readonly failureDomain: string
  /** Addresses of peers to learn members and tables from when the store is down. */
  readonly seeds: readonly string[]
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: EventLogger
  readonly metrics: MetricSink
  /** Defaults: {@link DEFAULT_PEER_TIMINGS}. */
  readonly timings?: Partial<PeerTimings>
  /** Replaces the WebSocket links, for tests. */
  readonly network?: HeartbeatNetwork
}

/** State of the store as this instance sees it. */
export type StoreState = 'reachable' | 'unreachable'

/** One instance's part of the cluster: links, membership, ownership, loads and tables. */
export class PeerNode {
  readonly network: HeartbeatNetwork
  readonly ownership: OwnershipManager
  readonly loads: HeartbeatLoadDirectory
  readonly tables: TableReplica
  readonly membership: MemberDirectory
  readonly #options: PeerNodeOptions
  readonly #timings: PeerTimings
  readonly #links: WebSocketPeerNetwork | undefined
  readonly #cache: StoreCache
  readonly #authority: AuthorityKeeper
  readonly #keeper: MembershipKeeper
  readonly #views: ViewKeeper
  readonly #record: { -readonly [Key in keyof AliveRecord]: AliveRecord[Key] }
  #listeningSinceMs: number | undefined
  #timers: Timer[] = []

  constructor (options: PeerNodeOptions) {
    const { store, clock, random, logger, metrics, self, incarnation, network } = options
    const timings = { ...DEFAULT_PEER_TIMINGS, ...options.timings }
    this.#options = options
    this.#timings = timings
    this.#record = {
      ...{ instance: self, incarnation, address: options.advertisedAddress, failureDomain: options.failureDomain },
      ...{ isDraining: false, startedAt: clock.readWallMs() }
    }
    this.#links = network !== undefined
      ? undefined
      : new WebSocketPeerNetwork({ ...options, self: { instance: self, incarnation }, startedAtMs: this.#record.startedAt, timings })
    this.network = (network ?? this.#links) as HeartbeatNetwork
    const prefixes = [ALIVE_PREFIX, VIEW_PREFIX, OWNER_PREFIX, LAYOUT_KEY, TABLES_KEY]
    this.#cache = new StoreCache(store, clock, logger, prefixes, timings.listingPeriodMs)
    this.#views = new ViewKeeper(store, clock, random, logger, this.#record)
    this.#authority = new AuthorityKeeper(clock, logger, timings, () => this.#views.listRequired())
    this.#keeper = new MembershipKeeper({
      store, cache: this.#cache, clock, random, logger, timings, authority: this.#authority, views: this.#views, self: this.#record
    })
    const promises = new PromiseLedger(clock)
    this.ownership = new OwnershipManager({
      ...{ store, cache: this.#cache, clock, random, logger, metrics, timings, network: this.network, authority: this.#authority },
      ...{ membership: this.#keeper, views: this.#views, promises, self: this.#record },
      readListeningSinceMs: () => this.#listeningSinceMs
    })
    this.loads = new HeartbeatLoadDirectory(clock)
    this.tables = new TableReplica(this.network, this.#cache, logger, metrics)
    this.membership = new MemberDirectory(this.#keeper, this.network, this.#record, () => this.readStoreState())
    const exchange = new HeartbeatExchange({
      ...{ clock, network: this.network, authority: this.#authority, promises, loads: this.loads, tables: this.tables },
      isStoreSilent: () => this.readStoreState() === 'unreachable',
      readDirectory: () => this.#readDirectory(),
      applyDirectory: (directory) => this.#applyDirectory(directory)
    })
    void exchange
  }

  /** Opens the listener and joins. Settles without waiting for the store, which may be down. */
  async start (): Promise<void> {
    const { clock, listenHost, advertisedAddress } = this.#options
    const port = await this.#links?.start()
    if (port !== undefined && advertisedAddress === '') this.#record.address = `${listenHost}:${port}`
    // Only a listener on the advertised port itself proves that an earlier process at this address has ended.
    if (port === undefined || this.#record.address.endsWith(`:${port}`)) this.#listeningSinceMs = clock.readMonotonicMs()
    this.#authority.start()
    this.#cache.start()
    this.#keeper.start()
    this.ownership.start()
    this.#timers = [
      clock.startInterval(ADDRESS_PERIOD_MS, () => this.#updateAddresses()),
      clock.startInterval(ADDRESS_PERIOD_MS, () => this.#updateView())
    ]
    this.#cache.subscribe((keys) => { if (keys.some((key) => key.startsWith(ALIVE_PREFIX))) this.#updateAddresses() })
  }

  /** Marks this instance as draining and hands all units over. Settles when none is held; an outage delays that. */
  async drain (): Promise<void> {
    this.#keeper.markDraining()
    await this.ownership.drain()
  }

  /** Ends authority first, then gives up the lease, then closes the links and the listener. */
  async stop (): Promise<void> {
    this.#authority.stop()
    this.ownership.stop()
    for (const timer of this.#timers) timer.cancel()
    await this.#keeper.stop()
    this.#cache.stop()
    await this.#links?.stop()
  }

  readStoreState (): StoreState {
    const silentMs = this.#options.clock.readMonotonicMs() - this.#cache.readLastContactMs()
    return silentMs < this.#timings.leaseTtlMs ? 'reachable' : 'unreachable'
  }

  /** Milliseconds since the store last answered; null before its first answer. */
  readStoreSilenceMs (): number | null {
    const contactMs = this.#cache.readLastContactMs()
    return Number.isFinite(contactMs) ? this.#options.clock.readMonotonicMs() - contactMs : null
  }

  #updateAddresses (): void {
    const others = this.membership.listRecords().filter((record) => record.instance !== this.#options.self)
    this.network.setAddresses(new Map(others.map((record) => [record.instance, record.address])))
  }

  #updateView (): void {
    const registration = this.#keeper.readRegistration()
    if (registration === undefined || this.readStoreState() === 'unreachable') return
    void this.#views.updateView(registration, this.#keeper.listAlive(), (member) => this.#authority.hasPromise(member))
  }

  #readDirectory (): PeerDirectory {
    const registry = this.ownership.readRegistry()
    return { members: this.membership.listRecords(), owners: registry.listGossip(), partitions: registry.readPartitionCount() }
  }

  #applyDirectory (directory: PeerDirectory): void {
    this.membership.applyGossip(directory.members)
    this.ownership.readRegistry().applyGossip(directory.owners, directory.partitions)
    this.#updateAddresses()
  }
}
