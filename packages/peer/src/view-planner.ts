import { formatMemberKey, type ViewMember } from './store-records.js'

/** An absent or silent member stays in the view for this long, so that a short loss of contact causes no write. */
export const VIEW_RETENTION_MS = 5_000
/** Silent members are dropped only while this many others promise: a view without others leaves nobody to take over soon. */
const MIN_PROMISING_MEMBERS = 2

/** What is known about another instance when the view is planned. */
export interface ViewCandidate {
  readonly member: ViewMember
  readonly isAlive: boolean
  readonly hasPromised: boolean
  /** Milliseconds since the candidate was last both alive and promising. */
  readonly unresponsiveMs: number
}

/** Chooses the next view: self, every alive member that promises, and current members that went quiet only a short time ago. */
export function planView (self: ViewMember, current: readonly ViewMember[], candidates: readonly ViewCandidate[]): ViewMember[] {
  const currentKeys = new Set(current.map(formatMemberKey))
  const promisingCount = candidates.filter((candidate) => candidate.isAlive && candidate.hasPromised).length
  const others = candidates.filter(({ member, isAlive, hasPromised, unresponsiveMs: idleMs }) => {
    if (isAlive && hasPromised) return true
    if (!currentKeys.has(formatMemberKey(member))) return false
    if (idleMs < VIEW_RETENTION_MS) return true
    return isAlive && promisingCount < MIN_PROMISING_MEMBERS
  })
  return [self, ...others.map(({ member }) => member)].sort((left, right) => formatMemberKey(left) < formatMemberKey(right) ? -1 : 1)
}

export function hasSameMembers (left: readonly ViewMember[], right: readonly ViewMember[]): boolean {
  return left.map(formatMemberKey).sort().join() === right.map(formatMemberKey).sort().join()
}
