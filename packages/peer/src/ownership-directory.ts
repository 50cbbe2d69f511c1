import type { InstanceId, Incarnation, UnitId } from '@hibiscusledge/runtime/identifiers.js'

/** The owner record of a unit as last seen in the store. */
export interface UnitOwner {
  readonly instance: InstanceId
  readonly incarnation: Incarnation
  readonly epoch: number
  /** Modification revision of the record; transactions compare it to fence outdated owners. */
  readonly modRevision: number
}

/** What an instance does with a unit that it owns. */
export interface UnitRole {
  /** Loads the unit's state. The unit serves once the promise has settled. */
  startUnit (unit: UnitId, owner: UnitOwner): Promise<void>
  /** Stops granting and finishes what must be finished before a planned hand-over. */
  prepareHandOver (unit: UnitId, successor: InstanceId): Promise<void>
  /** The unit belongs to another owner now, or this instance may no longer act for it. */
  stopUnit (unit: UnitId): void
}

/** Who owns which unit, and whether this instance may act for it now. */
export interface OwnershipDirectory {
  findOwner (unit: UnitId): UnitOwner | undefined
  listUnits (): readonly UnitId[]
  /** Whether this instance owns the unit and its authority to send holds at this moment. Checked immediately before each send. */
  hasAuthority (unit: UnitId): boolean
  /** Milliseconds of authority left; 0 without authority. */
  readAuthorityMs (unit: UnitId): number
  /** Registers what serves units whose identifier starts with `prefix`, such as `partition/`. */
  registerRole (prefix: string, role: UnitRole): void
  /** Names the target shards that exist, from the instance list. Partitions come from `hl/layout`. */
  setShards (units: readonly UnitId[]): void
  /** Calls `listener` after the owner of any unit has changed. */
  subscribe (listener: (unit: UnitId, owner: UnitOwner | undefined) => void): void
}
