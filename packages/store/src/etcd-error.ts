import { z } from 'zod'
import type { HttpResponse, HttpFailure } from './http-request.js'
import type { StoreError, StoreErrorCode } from './store-error.js'

/** Whether a call can change the store. */
export type CallKind = 'read' | 'write'

const GRPC_CODES = { invalidArgument: 3, notFound: 5, resourceExhausted: 8, outOfRange: 11 } as const

// `error` is a string for unary calls and an object for streamed calls. Older gateways omit `code`.
const errorBody = z.object({
  code: z.number().int().optional(),
  message: z.string().optional(),
  error: z.union([z.string(), z.object({ message: z.string().default(''), grpc_code: z.number().int().optional() })]).optional()
})

// etcd returns these codes before it proposes the change to its members, so the change has no effect.
const GRPC_CODES_WITHOUT_EFFECT: ReadonlySet<number> = new Set(Object.values(GRPC_CODES))

/** Converts an error response of the gateway to a store error. */
export function toStoreErrorFromResponse (response: HttpResponse, kind: CallKind): StoreError {
  const body = parseErrorBody(response.text)
  const grpcCode = body?.grpcCode
  const isRejected = grpcCode === undefined ? response.status === 429 || response.status === 413 : GRPC_CODES_WITHOUT_EFFECT.has(grpcCode)
  return {
    code: chooseErrorCode(response.status, grpcCode, body?.message ?? ''),
    message: `HTTP ${response.status}: ${body?.message ?? response.text.slice(0, 200)}`,
    isEffectUnknown: kind === 'write' && !isRejected
  }
}

/** Converts the failure of a call without a complete response to a store error. */
export function toStoreErrorFromFailure (failure: HttpFailure, kind: CallKind): StoreError {
  return {
    code: failure.type === 'timeout' ? 'timeout' : 'unavailable',
    message: failure.message,
    isEffectUnknown: kind === 'write' && failure.type !== 'notSent'
  }
}

function parseErrorBody (text: string): { grpcCode: number | undefined, message: string } | undefined {
  try {
    const body = errorBody.parse(JSON.parse(text))
    const inner = typeof body.error === 'object' ? body.error : { message: body.error ?? '', grpc_code: undefined }
    return { grpcCode: body.code ?? inner.grpc_code, message: body.message ?? inner.message }
  } catch {
    return undefined
  }
}

function chooseErrorCode (status: number, grpcCode: number | undefined, message: string): StoreErrorCode {
  if (message.includes('too large') || message.includes('larger than max') || status === 413) return 'tooLarge'
  if (message.includes('lease not found')) return 'leaseNotFound'
  if (grpcCode === GRPC_CODES.resourceExhausted || status === 429) return 'rateLimited'
  if (status === 504) return 'timeout'
  if (status >= 500) return 'unavailable'
  return 'protocol'
}
