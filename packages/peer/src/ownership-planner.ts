import type { InstanceId, UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { PeerTimings } from './peer-timings.js'
import { rankCandidates } from './rendezvous-hash.js'
import { formatMemberKey, type MemberRecord, type ViewMember, type ViewRecord } from './store-records.js'
import { computeOwnerRelation } from './takeover-decision.js'

/** Ranks the instances that should own a unit, best first. Draining instances are ranked only if all members are draining. */
export function rankOwners (unit: UnitId, members: readonly MemberRecord[]): InstanceId[] {
  const notDraining = members.filter((record) => !record.isDraining)
  return rankCandidates((notDraining.length > 0 ? notDraining : members).map((record) => record.instance), unit)
}

/** Ranks the instances that may take over without waiting for the limit of promise authority; if there are none, all members. */
export function rankSuccessors (
  unit: UnitId, owner: InstanceId, view: ViewRecord | undefined, members: readonly MemberRecord[]
): InstanceId[] {
  const eligible = members.filter((record) => computeOwnerRelation(record, true, owner, view) !== 'nonMember')
  return rankOwners(unit, eligible.length > 0 ? eligible : members)
}

/** Whether the instance at `rank` (from 0) may act after `waitedMs`. Each rank waits longer, so it acts only if the ones before do not. */
export function hasRankDelayPassed (rank: number, waitedMs: number, timings: PeerTimings): boolean {
  return rank >= 0 && waitedMs >= rank * timings.rankDelayMs
}

/**
 * Chooses the successor for a planned hand-over: the best ranked instance that is this one or connected to it. Returns undefined
 * when the unit stays here. An instance without a connection is skipped, since requests could not be forwarded to it either.
 */
export function chooseSuccessor (
  unit: UnitId, self: InstanceId, members: readonly MemberRecord[], isConnected: (record: MemberRecord) => boolean
): MemberRecord | undefined {
  const first = rankOwners(unit, members).map((instance) => members.find((record) => record.instance === instance))
    .find((record) => record !== undefined && (record.instance === self || isConnected(record)))
  return first === undefined || first.instance === self ? undefined : first
}

/** Tracks since when the alive keys of owners have been observed absent. */
export class AbsenceTracker {
  readonly #entries = new Map<string, { readonly viewRevision: number, readonly sinceMs: number }>()

  /** Returns since when (monotonic ms) the owner has been absent under this revision of its view; undefined while it is alive. */
  observe (owner: Omit<ViewMember, 'address'>, isAlive: boolean, viewRevision: number, nowMs: number): number | undefined {
    const key = formatMemberKey(owner)
    if (isAlive) {
      this.#entries.delete(key)
      return undefined
    }
    const entry = this.#entries.get(key)
    // An owner writes its view whenever it registers, so a new revision means that it was alive in between.
    if (entry !== undefined && entry.viewRevision === viewRevision) return entry.sinceMs
    this.#entries.set(key, { viewRevision, sinceMs: nowMs })
    return nowMs
  }

  /** Removes the entries of incarnations that are not in `keys`. */
  retain (keys: ReadonlySet<string>): void {
    for (const key of this.#entries.keys()) if (!keys.has(key)) this.#entries.delete(key)
  }
}
