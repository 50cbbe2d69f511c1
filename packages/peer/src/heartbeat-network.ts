import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { PeerIdentity, PeerNetwork } from './peer-network.js'

/** A peer network that keeps links open: it connects to all known addresses and sends heartbeats on each link. */
export interface HeartbeatNetwork extends PeerNetwork {
  /** Sets the function that builds the body of a heartbeat to a peer. Heartbeats are sent when a link opens and then periodically. */
  setHeartbeatProvider (provider: (to: PeerIdentity) => unknown): void
  /** Sets the addresses of the instances to keep links to, in addition to the seed peers. */
  setAddresses (addresses: ReadonlyMap<InstanceId, string>): void
}
