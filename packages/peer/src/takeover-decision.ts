import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { PeerTimings } from './peer-timings.js'
import { formatMemberKey, type ViewMember, type ViewRecord } from './store-records.js'

/**
 * Relation of an instance to an owner whose alive key is absent.
 * - `restartedOwner`: a later incarnation of the owner on the same address, so the owner's process has ended.
 * - `member`: a member of the owner's view, so the owner needs this incarnation's promise.
 * - `restartedMember`: a later incarnation of a member on the same address, so that member gives no more promises.
 * - `nonMember`: none of these. The owner's authority is certain to have ended only at the limit of promise authority.
 */
export type OwnerRelation = 'restartedOwner' | 'member' | 'restartedMember' | 'nonMember'

/** Inputs of {@link decideTakeover}. Times are monotonic milliseconds. */
export interface TakeoverConditions {
  readonly nowMs: number
  readonly relation: OwnerRelation
  /** Time since which the owner's alive key has been observed absent under the current revision of its view. */
  readonly absentSinceMs: number
  /** Whether this instance refuses promises for the owner's registration. */
  readonly isDenied: boolean
  /** Time of this instance's last promise to the owner; negative infinity if it gave none. */
  readonly lastPromiseMs: number
  /** Time since which this process has listened at its address. */
  readonly listeningSinceMs: number
}

/** `deny` asks the caller to refuse the owner further promises first; `take` allows the takeover. */
export type TakeoverDecision = 'wait' | 'deny' | 'take'

/**
 * Computes the relation of `self` to `owner`. Without a view the result is `nonMember`. The same address proves that an earlier
 * process has ended only if `isAddressExclusive`, that is if no two processes can listen at it.
 */
export function computeOwnerRelation (
  self: ViewMember, isAddressExclusive: boolean, owner: InstanceId, view: ViewRecord | undefined
): OwnerRelation {
  if (view === undefined) return 'nonMember'
  const selfKey = formatMemberKey(self)
  if (isAddressExclusive && self.instance === owner && self.address === view.address && self.incarnation !== view.incarnation) return 'restartedOwner'
  if (view.members.some((member) => formatMemberKey(member) === selfKey)) return 'member'
  const hasPredecessor = view.members.some((member) => member.instance === self.instance && member.address === self.address)
  return isAddressExclusive && hasPredecessor ? 'restartedMember' : 'nonMember'
}

/**
 * Decides whether a unit may be taken over now from an owner whose alive key is absent. A member or restarted member waits
 * until the owner can no longer hold a promise of that member; any other instance waits for the limit of promise authority.
 */
export function decideTakeover (conditions: TakeoverConditions, timings: PeerTimings): TakeoverDecision {
  const absentMs = conditions.nowMs - conditions.absentSinceMs
  if (conditions.relation === 'restartedOwner') return 'take'
  if (conditions.relation === 'nonMember') return absentMs >= timings.promiseAuthorityLimitMs + timings.nonMemberMarginMs ? 'take' : 'wait'
  if (absentMs < timings.absenceThresholdMs) return 'wait'
  if (!conditions.isDenied) return 'deny'
  const lastPossiblePromiseMs = conditions.relation === 'restartedMember' ? Math.max(conditions.lastPromiseMs, conditions.listeningSinceMs) : conditions.lastPromiseMs
  return conditions.nowMs >= lastPossiblePromiseMs + timings.promiseTtlMs + timings.promiseMarginMs ? 'take' : 'wait'
}
