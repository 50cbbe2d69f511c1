import { parseTraceparent, formatTraceparent, type TraceContext } from '@hibiscusledge/runtime/trace-context.js'
import { Packr } from 'msgpackr'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { z } from 'zod'
import { PEER_ERROR_CODES, type PeerError } from './peer-network.js'

export const PROTOCOL_VERSION = 1
export const MAX_FRAME_BYTES = 1_048_576
const MAX_KIND_LENGTH = 64

const frameSchema = z.object({
  v: z.literal(PROTOCOL_VERSION),
  kind: z.string().min(1).max(MAX_KIND_LENGTH),
  id: z.number().int().nonnegative().optional(),
  replyTo: z.number().int().nonnegative().optional(),
  trace: z.string().max(64).optional(),
  error: z.object({ code: z.enum(PEER_ERROR_CODES), message: z.string() }).optional(),
  body: z.unknown().optional()
})

/** One message on a link. A request has an `id`, its reply has `replyTo`, a notification has neither. */
export interface PeerFrame {
  readonly kind: string
  readonly id?: number | undefined
  readonly replyTo?: number | undefined
  readonly trace?: TraceContext | undefined
  readonly error?: PeerError | undefined
  readonly body: unknown
}

// Without records, because they make the encoding of a message depend on earlier messages.
const packr = new Packr({ useRecords: false })

/** Encodes a frame. Returns `malformed` if the body can't be encoded and `tooLarge` above {@link MAX_FRAME_BYTES}. */
export function encodeFrame (frame: PeerFrame): Result<Buffer, PeerError> {
  const { kind, id, replyTo, error, trace, body } = frame
  let bytes: Buffer
  try {
    bytes = packr.pack({
      v: PROTOCOL_VERSION,
      kind,
      ...(id === undefined ? {} : { id }),
      ...(replyTo === undefined ? {} : { replyTo }),
      ...(error === undefined ? {} : { error }),
      ...(trace === undefined ? {} : { trace: formatTraceparent(trace) }),
      body
    })
  } catch (error) {
    return Err({ code: PEER_ERROR_CODES.malformed, message: `the body of a ${kind} message can't be encoded: ${String(error)}` })
  }
  if (bytes.byteLength > MAX_FRAME_BYTES) {
    return Err({ code: PEER_ERROR_CODES.tooLarge, message: `a ${kind} frame of ${bytes.byteLength} bytes is over the limit of ${MAX_FRAME_BYTES}` })
  }
  return Ok(bytes)
}

/** Decodes and validates a received frame. Unknown fields are ignored. Returns `malformed` or `tooLarge` for invalid frames. */
export function decodeFrame (bytes: Uint8Array): Result<PeerFrame, PeerError> {
  if (bytes.byteLength > MAX_FRAME_BYTES) {
    return Err({ code: PEER_ERROR_CODES.tooLarge, message: `a frame of ${bytes.byteLength} bytes is over the limit of ${MAX_FRAME_BYTES}` })
  }
  let value: unknown
  try {
    value = packr.unpack(bytes)
  } catch {
    return Err({ code: PEER_ERROR_CODES.malformed, message: 'the frame is not valid MessagePack' })
  }
  const parsed = frameSchema.safeParse(value)
  if (!parsed.success) {
    const invalidPaths = parsed.error.issues.map((issue) => issue.path.join('.') || 'frame').join(', ')
    return Err({ code: PEER_ERROR_CODES.malformed, message: `the frame has invalid fields: ${invalidPaths}` })
  }
  const { kind, id, replyTo, trace, error, body } = parsed.data
  return Ok({ kind, id, replyTo, trace: parseTraceparent(trace), error, body })
}
