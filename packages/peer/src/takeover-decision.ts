import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { PeerTimings } from './peer-timings.js'
import { formatMemberKey, type ViewMember, type ViewRecord } from './store-records.js'

/**
 * How an instance stands to an owner whose alive key is absent.
 * - `successor`: a later incarnation of the owner on the same address, so the owner's process has ended.
 * - `member`: the owner needs this incarnation's promise.
 * - `substitute`: a later incarnation of a member on the same address; the member gives no more promises.
 * - `outsider`: none of these; only the limit of promise authority ends the owner's authority.
 */
export type OwnerRelation = 'successor' | 'member' | 'substitute' | 'outsider'

export interface TakeoverConditions {
  readonly nowMs: number
  readonly relation: OwnerRelation
  /** Since when the owner's alive key has been seen absent under the present revision of its view. */
  readonly absentSinceMs: number
  /** Whether this instance gives the owner's registration no more promises. */
  readonly isDenied: boolean
  readonly lastPromiseMs: number
  /** Since when this process has held its listening address. */
  readonly listeningSinceMs: number
}

export type TakeoverDecision = 'wait' | 'deny' | 'take'

/** Determines an instance's standing. The address proves the end of an earlier process only if its listener is exclusive. */
export function computeOwnerRelation (
  self: ViewMember, isAddressExclusive: boolean, owner: InstanceId, view: ViewRecord | undefined
): OwnerRelation {
  if (view === undefined) return 'outsider'
  const selfKey = formatMemberKey(self)
  if (isAddressExclusive && self.instance === owner && self.address === view.address && self.incarnation !== view.incarnation) return 'successor'
  if (view.members.some((member) => formatMemberKey(member) === selfKey)) return 'member'
  const hasPredecessor = view.members.some((member) => member.instance === self.instance && member.address === self.address)
  return isAddressExclusive && hasPredecessor ? 'substitute' : 'outsider'
}

/** Decides whether a unit may be taken over now from an owner whose alive key is absent. */
export function decideTakeover (conditions: TakeoverConditions, timings: PeerTimings): TakeoverDecision {
  const absentMs = conditions.nowMs - conditions.absentSinceMs
  if (conditions.relation === 'successor') return 'take'
  if (conditions.relation === 'outsider') return absentMs >= timings.promiseAuthorityLimitMs + timings.nonMemberMarginMs ? 'take' : 'wait'
  if (absentMs < timings.absenceThresholdMs) return 'wait'
  if (!conditions.isDenied) return 'deny'
  const lastPossiblePromiseMs = conditions.relation === 'substitute' ? Math.max(conditions.lastPromiseMs, conditions.listeningSinceMs) : conditions.lastPromiseMs
  return conditions.nowMs >= lastPossiblePromiseMs + timings.promiseTtlMs + timings.promiseMarginMs ? 'take' : 'wait'
}
