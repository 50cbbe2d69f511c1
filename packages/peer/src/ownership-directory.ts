import type { InstanceId, Incarnation, UnitId } from '@hibiscusledge/runtime/identifiers.js'

/** Owner of a unit according to the last known owner record. */
export interface UnitOwner {
  readonly instance: InstanceId
  readonly incarnation: Incarnation
  readonly epoch: number
  /** Modification revision of the record; transactions compare it to fence off outdated owners. */
  readonly modRevision: number
}

/** Serves the units of one kind on the instance that owns them. */
export interface UnitRole {
  /** Loads the state of the unit, which is served once the promise has resolved. */
  startUnit (unit: UnitId, owner: UnitOwner): Promise<void>
  /** Stops granting work and completes what must be complete before a planned hand-over. A rejection cancels the hand-over. */
  prepareHandOver (unit: UnitId, successor: InstanceId): Promise<void>
  /** Serves the unit again under the same owner record, after a hand-over that was prepared but did not take place. */
  resumeUnit (unit: UnitId, owner: UnitOwner): Promise<void>
  /** Called when the unit has another owner or this instance may no longer act for it. */
  stopUnit (unit: UnitId): void
}

/** Owners of all units, and the authority of this instance to act for its own ones. */
export interface OwnershipDirectory {
  findOwner (unit: UnitId): UnitOwner | undefined
  listUnits (): readonly UnitId[]
  /** Whether this instance owns the unit and has authority to send for it right now. Callers check this immediately before each send. */
  hasAuthority (unit: UnitId): boolean
  /** Returns the remaining authority in milliseconds; 0 without authority. */
  readAuthorityMs (unit: UnitId): number
  /** Registers the role that serves the units whose identifier starts with `prefix`, such as `partition/`. */
  registerRole (prefix: string, role: UnitRole): void
  /** Sets the existing target shards, which the instance list defines. Partitions are defined by `hl/layout`. */
  setShards (units: readonly UnitId[]): void
  /** Calls `listener` after each change of a unit's owner record. */
  subscribe (listener: (unit: UnitId, owner: UnitOwner | undefined) => void): void
}
