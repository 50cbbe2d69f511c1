import { ClusterRequestGateway } from '@hibiscusledge/dispatch/cluster-request-gateway.js'
import type { DispatchContext } from '@hibiscusledge/dispatch/dispatch-context.js'
import { CoordinatorRole } from '@hibiscusledge/dispatch/coordinator-role.js'
import { ShardRole } from '@hibiscusledge/dispatch/shard-role.js'
import { PeerNode } from '@hibiscusledge/peer/peer-node.js'
import { RateLimitedStore } from '@hibiscusledge/store/rate-limited-store.js'
import { EtcdGatewayStore } from '@hibiscusledge/store/etcd-gateway-store.js'
import { TargetListPoller } from '@hibiscusledge/store/target-list-poller.js'
import { PrometheusTargetList } from '@hibiscusledge/store/prometheus-target-list.js'
import { toIncarnation, toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import { PoolShardScheduler } from '@hibiscusledge/scheduling/pool-shard-scheduler.js'
import { ClusterStatusSource } from './cluster-status-source.js'
import { formatHostPort } from './host-port.js'
import { InstanceDrainer } from './instance-drainer.js'
import type { InstanceComponents } from './instance-components.js'
import type { Settings } from './setting-table.js'
import { StoreRateLimitDivider } from './store-rate-limit-divider.js'
import { StoreTableEditor } from './store-table-editor.js'
import type { Telemetry } from './telemetry.js'

const INCARNATION_BYTES = 8

/**
 * Builds the components of an instance behind the HTTP API: store client, peer node, tables, request gateway and the two roles.
 * A role does the work of the units that this instance owns: partitions for the coordinator, shards for the scheduler.
 */
export function composeInstance (settings: Settings, telemetry: Telemetry): InstanceComponents {
  const { clock, random, logger, metrics, spans } = telemetry
  const etcdStore = new EtcdGatewayStore({ endpoints: settings.storeEndpoints, clock })
  const store = new RateLimitedStore(etcdStore, clock, {
    readsPerSecond: settings.storeReadsPerSecond, writesPerSecond: settings.storeWritesPerSecond
  })
  const node = new PeerNode({
    self: toInstanceId(settings.instanceId),
    incarnation: toIncarnation(random.drawHex(INCARNATION_BYTES)),
    listenHost: settings.peerHost,
    listenPort: settings.peerPort,
    advertisedAddress: settings.peerAdvertise === undefined ? '' : formatHostPort(settings.peerAdvertise),
    failureDomain: settings.failureDomain,
    seedAddresses: settings.peers.map(formatHostPort),
    store,
    clock,
    random,
    logger,
    metrics
  })
  const { network, ownership, loads, tables } = node
  const { outcomeRetentionMs } = settings
  const context: DispatchContext = { store, network, ownership, loads, tables, clock, random, logger, metrics, spans, outcomeRetentionMs }
  // The constructor registers the role with `network`, which passes it the messages for coordinators, and with `ownership`,
  // which starts and stops it for the partitions that this instance owns.
  void new CoordinatorRole(context)
  const shards = new ShardRole(context, () => new PoolShardScheduler())
  const targetListPoller = new TargetListPoller(new PrometheusTargetList({ url: settings.instanceListUrl, clock }), clock)
  const rateLimitDivider = new StoreRateLimitDivider(store, node.members, settings, clock)
  return {
    gateway: new ClusterRequestGateway(context),
    tables,
    tableEditor: new StoreTableEditor(store, clock, random),
    status: new ClusterStatusSource(node),
    drainer: new InstanceDrainer({
      node, shards, clock, stopFunctions: [() => { targetListPoller.stop() }, () => { rateLimitDivider.stop() }]
    }),
    start: async () => {
      await node.start()
      targetListPoller.subscribe((targets) => { shards.applyTargets(targets) })
      targetListPoller.start()
      rateLimitDivider.start()
    }
  }
}
