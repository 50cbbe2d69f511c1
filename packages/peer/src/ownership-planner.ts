import type { InstanceId, UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { PeerTimings } from './peer-timings.js'
import { rankCandidates } from './rendezvous-hash.js'
import { formatMemberKey, type AliveRecord, type ViewMember, type ViewRecord } from './store-records.js'
import { computeOwnerRelation } from './takeover-decision.js'

/** Ranks the instances that should own a unit: live ones that are not draining; draining ones only when there is no other. */
export function rankOwners (unit: UnitId, alive: readonly AliveRecord[]): InstanceId[] {
  const staying = alive.filter((record) => !record.isDraining)
  return rankCandidates((staying.length > 0 ? staying : alive).map((record) => record.instance), unit)
}

/** Ranks the instances that may take over from an owner soon; every live instance when there is none. */
export function rankSuccessors (
  unit: UnitId, owner: InstanceId, view: ViewRecord | undefined, alive: readonly AliveRecord[]
): InstanceId[] {
  const eligible = alive.filter((record) => computeOwnerRelation(record, true, owner, view) !== 'outsider')
  return rankOwners(unit, eligible.length > 0 ? eligible : alive)
}

/** Whether an instance of rank `rank` may act after a unit has waited for `waitedMs`; later ranks act only when earlier ones do not. */
export function hasRankDelayPassed (rank: number, waitedMs: number, timings: PeerTimings): boolean {
  return rank >= 0 && waitedMs >= rank * timings.rankDelayMs
}

/**
 * Chooses the successor for a planned hand-over: the first in rank that is this instance or connected to it.
 * Undefined when the unit stays here. An instance that can't be reached from here would get no requests either.
 */
export function chooseSuccessor (
  unit: UnitId, self: InstanceId, alive: readonly AliveRecord[], isConnected: (record: AliveRecord) => boolean
): AliveRecord | undefined {
  const first = rankOwners(unit, alive).map((instance) => alive.find((record) => record.instance === instance))
    .find((record) => record !== undefined && (record.instance === self || isConnected(record)))
  return first === undefined || first.instance === self ? undefined : first
}

/** Tracks since when the alive keys of incarnations have been seen absent. */
export class AbsenceTracker {
  readonly #entries = new Map<string, { readonly viewRevision: number, readonly sinceMs: number }>()

  /** Returns since when the incarnation has been seen absent under this revision of its view; undefined while it is alive. */
  observe (owner: Omit<ViewMember, 'address'>, isAlive: boolean, viewRevision: number, nowMs: number): number | undefined {
    const key = formatMemberKey(owner)
    if (isAlive) {
      this.#entries.delete(key)
      return undefined
    }
    const entry = this.#entries.get(key)
    // An owner writes its view whenever it registers: a new revision shows that it was alive in between.
    if (entry !== undefined && entry.viewRevision === viewRevision) return entry.sinceMs
    this.#entries.set(key, { viewRevision, sinceMs: nowMs })
    return nowMs
  }

  /** Forgets incarnations that own nothing any more. */
  retain (keys: ReadonlySet<string>): void {
    for (const key of this.#entries.keys()) if (!keys.has(key)) this.#entries.delete(key)
  }
}
