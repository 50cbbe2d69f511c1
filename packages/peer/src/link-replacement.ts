import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'

/** Properties of a link that decide which of two links to the same instance is kept. */
export interface LinkState {
  /** Instance that opened the connection. */
  readonly initiator: InstanceId
  readonly incarnation: string
  /** Time since the Unix epoch at which the peer's process started, by its own clock. */
  readonly startedAtMs: number
  /** Milliseconds since anything was received on the link. */
  readonly idleMs: number
}

/** An open link that has been idle for longer than this is replaced by a new one. */
export const REPLACEABLE_LINK_IDLE_MS = 1_000

/** Whether `candidate` replaces `existing`. While both links are in use, both ends get the same result. */
export function shouldReplaceLink (existing: LinkState, candidate: LinkState): boolean {
  if (existing.incarnation !== candidate.incarnation) return candidate.startedAtMs >= existing.startedAtMs
  if (existing.idleMs > REPLACEABLE_LINK_IDLE_MS) return true
  return candidate.initiator <= existing.initiator
}
