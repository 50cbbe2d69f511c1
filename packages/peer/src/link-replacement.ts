import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'

/** What decides between two links to the same instance. */
export interface LinkState {
  readonly initiator: InstanceId
  readonly incarnation: string
  /** Wall time at which the peer's process started. */
  readonly startedAtMs: number
  /** Milliseconds since anything was received on the link. */
  readonly idleMs: number
}

/** An open link that is silent for longer than this gives way to a new one. */
export const REPLACEABLE_LINK_IDLE_MS = 1_000

/** Whether `candidate` replaces `existing`. Both ends come to the same answer when both links are in use. */
export function shouldReplaceLink (existing: LinkState, candidate: LinkState): boolean {
  if (existing.incarnation !== candidate.incarnation) return candidate.startedAtMs >= existing.startedAtMs
  if (existing.idleMs > REPLACEABLE_LINK_IDLE_MS) return true
  return candidate.initiator <= existing.initiator
}
