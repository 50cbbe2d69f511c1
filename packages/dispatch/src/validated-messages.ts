import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { InstanceId } from '@hibiscusledge/runtime/identifiers.js'
import type { TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import type { PeerError, PeerIdentity, PeerNetwork } from '@hibiscusledge/peer/peer-network.js'
import { PEER_ERROR_CODES } from '@hibiscusledge/peer/peer-network.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { z } from 'zod'
import { DISPATCH_EVENTS } from './dispatch-events.js'

/** Registers a handler for messages that match the schema. A malformed message is logged and answered with an error. */
export function registerValidatedHandler<Schema extends z.ZodType> (
  network: PeerNetwork,
  logger: EventLogger,
  kind: string,
  schema: Schema,
  handle: (message: z.output<Schema>, from: PeerIdentity, trace: TraceContext | undefined) => Promise<unknown>
): void {
  network.registerHandler(kind, async (body, from, trace) => {
    const parsed = schema.safeParse(body)
    if (!parsed.success) {
      logger.logWarning(DISPATCH_EVENTS.messageRejected, { kind, from: from.instance, issues: parsed.error.issues.length })
      throw new Error(`malformed ${kind} message`)
    }
    return await handle(parsed.data, from, trace)
  })
}

/** Sends a request and validates the reply. A malformed reply is returned as an error. */
export async function sendValidatedRequest<Schema extends z.ZodType> (
  network: PeerNetwork, to: InstanceId, kind: string, body: unknown, schema: Schema, timeoutMs: number, trace?: TraceContext
): Promise<Result<z.output<Schema>, PeerError>> {
  const reply = await network.sendRequest(to, kind, body, timeoutMs, trace)
  if (!reply.ok) return Err(reply.val)
  const parsed = schema.safeParse(reply.val)
  return parsed.success ? Ok(parsed.data) : Err({ code: PEER_ERROR_CODES.malformed, message: `malformed reply to ${kind}` })
}
