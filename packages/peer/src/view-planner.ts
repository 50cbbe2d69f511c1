import { formatMemberKey, type ViewMember } from './store-records.js'

/** An absent or unresponsive member stays in the view for this long, so that a short loss of contact causes no write. */
export const VIEW_RETENTION_MS = 5_000
/** Unresponsive members are removed only while this many others give promises: only members of the view can take over soon. */
const MIN_PROMISING_MEMBERS = 2

/** Another instance that may be put into the view. */
export interface ViewCandidate {
  readonly member: ViewMember
  readonly isAlive: boolean
  readonly hasPromised: boolean
  /** Milliseconds since the candidate was last both alive and giving promises. */
  readonly unresponsiveMs: number
}

/**
 * Plans the next view: this instance, every live instance that gives promises, and current members that have been absent or
 * unresponsive for less than {@link VIEW_RETENTION_MS}. Live but unresponsive members stay longer while fewer than
 * {@link MIN_PROMISING_MEMBERS} instances give promises. Sorted by member key.
 */
export function planView (self: ViewMember, current: readonly ViewMember[], candidates: readonly ViewCandidate[]): ViewMember[] {
  const currentKeys = new Set(current.map(formatMemberKey))
  const promisingCount = candidates.filter((candidate) => candidate.isAlive && candidate.hasPromised).length
  const others = candidates.filter(({ member, isAlive, hasPromised, unresponsiveMs }) => {
    if (isAlive && hasPromised) return true
    if (!currentKeys.has(formatMemberKey(member))) return false
    if (unresponsiveMs < VIEW_RETENTION_MS) return true
    return isAlive && promisingCount < MIN_PROMISING_MEMBERS
  })
  return [self, ...others.map(({ member }) => member)].sort((left, right) => formatMemberKey(left) < formatMemberKey(right) ? -1 : 1)
}

export function hasSameMembers (left: readonly ViewMember[], right: readonly ViewMember[]): boolean {
  return left.map(formatMemberKey).sort().join() === right.map(formatMemberKey).sort().join()
}
