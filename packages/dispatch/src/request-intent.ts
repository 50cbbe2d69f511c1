import { PEER_MESSAGE_KINDS } from '@hibiscusledge/peer/peer-message-kinds.js'
import type { UnitOwner } from '@hibiscusledge/peer/ownership-directory.js'
import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { DispatchContext } from './dispatch-context.js'
import { recordIntentReplySchema } from './dispatch-messages.js'
import { sendValidatedRequest } from './validated-messages.js'
import { findPartition } from './request-id.js'
import type { ShardAttempt } from './shard-attempt.js'

const INTENT_TIMEOUT_MS = 5000
/** An older acknowledgement is ignored, because the process may have been paused after it. */
const INTENT_ACKNOWLEDGEMENT_MAX_AGE_MS = 1000

/** Asks the coordinator to record the intent of an attempt. Returns the reason not to send the attempt, or undefined to send it. */
export async function requestIntent (
  context: DispatchContext, unit: UnitId, owner: UnitOwner, attempt: ShardAttempt
): Promise<string | undefined> {
  const { network, ownership, clock } = context
  const partition = findPartition(attempt.requestId)
  const coordinator = partition === undefined ? undefined : ownership.findOwner(partition)
  if (coordinator === undefined) return 'the request has no home now'
  const message = {
    requestId: attempt.requestId,
    attempt: attempt.attempt,
    unit,
    epoch: owner.epoch,
    ownerModRevision: owner.modRevision,
    targets: attempt.targets
  }
  const requestedAtMs = clock.readMonotonicMs()
  const reply = await sendValidatedRequest(
    network, coordinator.instance, PEER_MESSAGE_KINDS.recordIntent, message, recordIntentReplySchema, INTENT_TIMEOUT_MS, attempt.trace
  )
  if (!reply.ok) return reply.val.message
  if (!reply.val.isGranted) return reply.val.reason ?? 'not granted'
  if (attempt.isWithdrawn) return 'taken back by the home'
  // Upper bound of the acknowledgement's age: the coordinator received the message after it was sent and held it for `heldMs`.
  const ageMs = clock.readMonotonicMs() - requestedAtMs - (reply.val.heldMs ?? 0)
  return ageMs > INTENT_ACKNOWLEDGEMENT_MAX_AGE_MS ? 'the acknowledgement of the intent is too old' : undefined
}
