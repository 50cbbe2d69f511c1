import type { HeartbeatNetwork } from './heartbeat-network.js'
import type { MembershipManager } from './membership-manager.js'
import { formatMemberKey, type MemberRecord } from './store-records.js'

/** `self` is this instance; `connected` has an open link to it, `known` has none. */
export type MemberState = 'self' | 'connected' | 'known'

export interface Member extends MemberRecord {
  readonly state: MemberState
}

/** Members listed by the store. While it is unreachable, the last known list is completed by members that peers report. */
export class MemberDirectory {
  readonly #membershipManager: MembershipManager
  readonly #network: HeartbeatNetwork
  readonly #self: MemberRecord
  readonly #readStoreState: () => string
  #gossiped = new Map<string, MemberRecord>()

  constructor (membershipManager: MembershipManager, network: HeartbeatNetwork, self: MemberRecord, readStoreState: () => string) {
    this.#membershipManager = membershipManager
    this.#network = network
    this.#self = self
    this.#readStoreState = readStoreState
  }

  listMembers (): Member[] {
    const connected = new Set(this.#network.listConnected().map(formatMemberKey))
    return this.listRecords().map((record) => {
      if (record.instance === this.#self.instance) return { ...record, state: 'self' }
      return { ...record, state: connected.has(formatMemberKey(record)) ? 'connected' : 'known' }
    })
  }

  /** Returns one record for each instance, sorted by name. This instance is included even before it has registered. */
  listRecords (): MemberRecord[] {
    if (this.#readStoreState() === 'reachable') this.#gossiped.clear()
    const records = new Map(
      [...this.#gossiped.values(), ...this.#membershipManager.listMemberRecords()].map((record) => [record.instance, record])
    )
    records.set(this.#self.instance, { ...this.#self, isDraining: this.#membershipManager.isDraining() })
    return [...records.values()].sort((left, right) => left.instance < right.instance ? -1 : 1)
  }

  /** Adds members reported by a peer. For each instance, the record with the latest start is kept. */
  applyGossip (members: readonly MemberRecord[]): void {
    for (const member of members) {
      if (member.startedAt >= (this.#gossiped.get(member.instance)?.startedAt ?? 0)) this.#gossiped.set(member.instance, member)
    }
  }
}
