import type { PeerNode } from '@hibiscusledge/peer/peer-node.js'
import type { ClusterStatus, StatusSource } from './status-source.js'

/** Reads the state of the cluster from the in-memory state of the instance's peer node. */
export class ClusterStatusSource implements StatusSource {
  readonly #node: PeerNode

  constructor (node: PeerNode) {
    this.#node = node
  }

  readStatus (): ClusterStatus {
    const { ownership, loads, members: membership, network } = this.#node
    const units = ownership.listUnits()
    return {
      incarnation: network.self.incarnation,
      members: membership.listMembers().map(({ instance, incarnation, failureDomain, isDraining, state }) => ({
        instance, incarnation, failureDomain, isDraining, isConnected: state !== 'known'
      })),
      units: units.flatMap((unit) => {
        const owner = ownership.findOwner(unit)
        return owner === undefined ? [] : [{ unit, owner: owner.instance, epoch: owner.epoch }]
      }),
      loads: units.flatMap((unit) => {
        const load = loads.findLoad(unit)
        return load === undefined ? [] : [{ unit, pools: load.pools }]
      }),
      store: { isAvailable: this.#node.readStoreState() === 'reachable', lastAnswerAgeMs: this.#node.readStoreContactAgeMs() }
    }
  }
}
