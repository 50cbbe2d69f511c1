import type { Clock } from '@hibiscusledge/runtime/clock.js'
import { z } from 'zod'
import type { AuthorityTracker } from './authority-tracker.js'
import { shardLoadSchema, type HeartbeatLoadDirectory } from './heartbeat-load-directory.js'
import type { HeartbeatNetwork } from './heartbeat-network.js'
import { gossipedOwnerSchema, type GossipedOwner } from './owner-registry.js'
import { PEER_MESSAGE_KINDS } from './peer-message-kinds.js'
import type { PeerIdentity } from './peer-network.js'
import type { PromiseGranter } from './promise-granter.js'
import { memberRecordSchema, formatMemberKey, type MemberRecord } from './store-records.js'
import type { TableReplica } from './table-replica.js'

const SENT_HEARTBEAT_RETENTION_MS = 10_000

const directorySchema = z.object({
  members: z.array(memberRecordSchema),
  owners: z.array(gossipedOwnerSchema),
  partitions: z.number().int()
})
export const heartbeatSchema = z.object({
  sequence: z.number().int(),
  /** Registration for which a promise is requested; 0 for none. */
  registration: z.number().int(),
  tableRevision: z.number().int(),
  tableHash: z.string(),
  /** Whether the sender can't reach the store and asks for the directory of the receiver. */
  needsDirectory: z.boolean(),
  loads: z.array(shardLoadSchema)
})
export const heartbeatReplySchema = z.object({
  sequence: z.number().int(),
  registration: z.number().int(),
  directory: directorySchema.optional()
})

/** Members, owners and layout that an instance sends to another one that can't reach the store. */
export interface DirectorySnapshot {
  readonly members: readonly MemberRecord[]
  readonly owners: readonly GossipedOwner[]
  readonly partitions: number
}

export interface HeartbeatExchangeOptions {
  readonly clock: Clock
  readonly network: HeartbeatNetwork
  readonly authority: AuthorityTracker
  readonly promises: PromiseGranter
  readonly loads: HeartbeatLoadDirectory
  readonly tables: TableReplica
  readonly isStoreUnreachable: () => boolean
  readonly createDirectorySnapshot: () => DirectorySnapshot
  readonly applyDirectorySnapshot: (snapshot: DirectorySnapshot) => void
}

/** Builds the heartbeats with their promise requests, replies to those of peers, and distributes the data that they carry. */
export class HeartbeatExchange {
  readonly #options: HeartbeatExchangeOptions
  readonly #sentAtMs = new Map<number, number>()
  #nextSequence = 1

  constructor (options: HeartbeatExchangeOptions) {
    this.#options = options
    const { network } = options
    network.setHeartbeatProvider(() => this.#buildHeartbeat())
    network.registerHandler(PEER_MESSAGE_KINDS.heartbeat, async (body, from) => { this.#receiveHeartbeat(body, from) })
    network.registerHandler(PEER_MESSAGE_KINDS.promise, async (body, from) => { this.#receiveReply(body, from, true) })
    network.registerHandler(PEER_MESSAGE_KINDS.deny, async (body, from) => { this.#receiveReply(body, from, false) })
  }

  #buildHeartbeat (): z.input<typeof heartbeatSchema> {
    const { clock, authority, loads, tables, isStoreUnreachable } = this.#options
    const nowMs = clock.readMonotonicMs()
    const sequence = this.#nextSequence++
    this.#sentAtMs.set(sequence, nowMs)
    for (const [sentSequence, sentAtMs] of this.#sentAtMs) {
      if (nowMs - sentAtMs <= SENT_HEARTBEAT_RETENTION_MS) break
      this.#sentAtMs.delete(sentSequence)
    }
    const current = tables.readCurrent()
    return {
      sequence,
      registration: authority.readRegistration(),
      tableRevision: current?.revision ?? 0,
      tableHash: current?.hash ?? '',
      needsDirectory: isStoreUnreachable(),
      loads: loads.listLocalLoads().map((load) => ({ ...load, pools: [...load.pools] }))
    }
  }

  #receiveHeartbeat (body: unknown, from: PeerIdentity): void {
    const { network, promises, loads, tables, createDirectorySnapshot } = this.#options
    const { sequence, registration, tableRevision, needsDirectory, loads: reported } = heartbeatSchema.parse(body)
    loads.recordReports(reported)
    void tables.receiveGossip(from, tableRevision)
    if (registration === 0 && !needsDirectory) return
    const isGranted = registration > 0 && promises.grant(formatMemberKey(from), registration)
    const reply = { sequence, registration, ...(needsDirectory ? { directory: createDirectorySnapshot() } : {}) }
    network.sendNotification(from.instance, isGranted ? PEER_MESSAGE_KINDS.promise : PEER_MESSAGE_KINDS.deny, reply)
  }

  #receiveReply (body: unknown, from: PeerIdentity, isPromise: boolean): void {
    const { authority, applyDirectorySnapshot, isStoreUnreachable } = this.#options
    const { sequence, registration, directory } = heartbeatReplySchema.parse(body)
    const sentAtMs = this.#sentAtMs.get(sequence)
    if (isPromise && sentAtMs !== undefined) authority.recordPromise(formatMemberKey(from), registration, sentAtMs)
    if (directory !== undefined && isStoreUnreachable()) applyDirectorySnapshot(directory)
  }
}
