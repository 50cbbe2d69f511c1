import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import { toIncarnation, toInstanceId, toUnitId, type UnitId } from '@hibiscusledge/runtime/identifiers.js'
import { z } from 'zod'
import type { UnitOwner } from './ownership-directory.js'
import { PEER_LOG_EVENTS } from './peer-log-events.js'
import type { StoreCache } from './store-cache.js'
import {
  formatOwnerKey, formatPartitionUnit, LAYOUT_KEY, layoutSchema, OWNER_PREFIX, ownerSchema, parseOwnerKey, parseRecord, type ViewMember
} from './store-records.js'

type OwnerListener = (unit: UnitId, owner: UnitOwner | undefined) => void

/** An owner record as instances exchange it. */
export const gossipedOwnerSchema = z.object({
  unit: z.string().transform(toUnitId),
  instance: z.string().transform(toInstanceId),
  incarnation: z.string().transform(toIncarnation),
  epoch: z.number().int(),
  modRevision: z.number().int()
})
export type GossipedOwner = z.output<typeof gossipedOwnerSchema>

/** The existing units and their owners, read from the store or, while it is unreachable, learned from peers. */
export class OwnerRegistry {
  readonly #cache: StoreCache
  readonly #logger: EventLogger
  readonly #self: ViewMember
  /** An owner with an empty instance name marks a released unit. */
  readonly #owners = new Map<UnitId, UnitOwner>()
  readonly #listeners: OwnerListener[] = []
  #shards: readonly UnitId[] = []
  #partitionCount = 0

  constructor (cache: StoreCache, logger: EventLogger, self: ViewMember) {
    this.#cache = cache
    this.#logger = logger
    this.#self = self
    cache.subscribe((keys) => {
      for (const key of keys) {
        if (key.startsWith(OWNER_PREFIX)) this.#applyRecord(key)
        if (key === LAYOUT_KEY) this.#applyLayout()
      }
    })
  }

  subscribe (listener: OwnerListener): void {
    this.#listeners.push(listener)
  }

  setShards (units: readonly UnitId[]): void {
    this.#shards = units
  }

  readPartitionCount (): number {
    return this.#partitionCount
  }

  listUnits (): UnitId[] {
    const partitions = Array.from({ length: this.#partitionCount }, (_, index) => formatPartitionUnit(index))
    return [...new Set([...partitions, ...this.#shards, ...this.#owners.keys()])].sort()
  }

  findOwner (unit: UnitId): UnitOwner | undefined {
    const owner = this.#owners.get(unit)
    return owner === undefined || owner.instance === '' ? undefined : owner
  }

  /** Returns the revision and epoch that a write of the owner record must compare; both 0 when there is no record. */
  readRecord (unit: UnitId): Pick<UnitOwner, 'modRevision' | 'epoch'> {
    return this.#owners.get(unit) ?? { modRevision: 0, epoch: 0 }
  }

  listGossip (): GossipedOwner[] {
    return [...this.#owners].map(([unit, owner]) => ({ unit, ...owner }))
  }

  /** Applies owner records received from a peer. Records that name this incarnation are ignored: they count only from the store. */
  applyGossip (owners: readonly GossipedOwner[], partitionCount: number): void {
    if (this.#partitionCount === 0) this.#partitionCount = partitionCount
    for (const { unit, ...owner } of owners) {
      if (owner.instance === this.#self.instance && owner.incarnation === this.#self.incarnation) continue
      this.#applyOwner(unit, owner)
    }
  }

  #applyRecord (key: string): void {
    const stored = this.#cache.find(key)
    if (stored === undefined) return
    const record = parseRecord(ownerSchema, stored.value)
    if (record === undefined) {
      this.#logger.logError(PEER_LOG_EVENTS.recordMalformed, { key, revision: stored.modRevision })
      return
    }
    const { owner, incarnation, epoch } = record
    this.#applyOwner(parseOwnerKey(key), { instance: owner, incarnation, epoch, modRevision: stored.modRevision })
  }

  #applyOwner (unit: UnitId, owner: UnitOwner): void {
    if (owner.modRevision <= (this.#owners.get(unit)?.modRevision ?? 0)) return
    this.#owners.set(unit, owner)
    const currentOwner = this.findOwner(unit)
    for (const listener of this.#listeners) listener(unit, currentOwner)
  }

  #applyLayout (): void {
    const stored = this.#cache.find(LAYOUT_KEY)
    const layout = stored === undefined ? undefined : parseRecord(layoutSchema, stored.value)
    if (layout !== undefined) this.#partitionCount = layout.partitions
  }

  /** Whether the local copy of the store has an owner record of the unit. */
  hasRecord (unit: UnitId): boolean {
    return this.#cache.find(formatOwnerKey(unit)) !== undefined
  }
}
