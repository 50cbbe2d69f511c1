import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'

/** What decides between two links to the same instance. */
export interface LinkFacts {
  readonly initiator: InstanceId
  readonly incarnation: string
  /** Wall time at which the peer's process started. */
  readonly startedAtMs: number
  /** Milliseconds since anything was received on the link. */
  readonly silentMs: number
}

/** An open link that is silent for longer than this gives way to a new one. */
export const REPLACEABLE_SILENCE_MS = 1_000

/** Whether `candidate` replaces `existing`. Both ends come to the same answer when both links are in use. */
export function shouldReplaceLink (existing: LinkFacts, candidate: LinkFacts): boolean {
  if (existing.incarnation !== candidate.incarnation) return candidate.startedAtMs >= existing.startedAtMs
  if (existing.silentMs > REPLACEABLE_SILENCE_MS) return true
  return candidate.initiator <= existing.initiator
}
