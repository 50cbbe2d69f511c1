import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { PeerIdentity, PeerNetwork } from './peer-network.js'

/** A network that also keeps links open: it sends heartbeats on each and connects to known addresses. */
export interface HeartbeatNetwork extends PeerNetwork {
  /** Sets what a heartbeat to a peer contains. One is sent when a link opens and then at every heartbeat period. */
  setHeartbeatProvider (provider: (to: PeerIdentity) => unknown): void
  /** Sets the addresses of the instances to keep a link with, in addition to the seeds. */
  setAddresses (addresses: ReadonlyMap<InstanceId, string>): void
}
