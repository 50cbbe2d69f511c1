import { NOT_UTF8_ERROR_TYPE } from './api-body-parser.js'
import { ApiError } from './api-error.js'
import { API_FINDINGS } from './api-messages.js'
import { createErrorResponse, createFindingsResponse, type ApiResponse } from './api-response.js'

/** Responses by the error type that body-parser or moleculer-web reports. */
const RESPONSES_BY_ERROR_TYPE: ReadonlyMap<unknown, ApiResponse> = new Map([
  ['entity.too.large', createErrorResponse('bodyTooLarge')],
  ['entity.parse.failed', createFindingsResponse([{ ...API_FINDINGS.notJson, place: 'body' }])],
  ['request.aborted', createFindingsResponse([{ ...API_FINDINGS.bodyIncomplete, place: 'body' }])],
  ['request.size.invalid', createFindingsResponse([{ ...API_FINDINGS.bodyIncomplete, place: 'body' }])],
  ['encoding.unsupported', createErrorResponse('unsupportedEncoding')],
  ['charset.unsupported', createErrorResponse('unsupportedEncoding')],
  [NOT_UTF8_ERROR_TYPE, createErrorResponse('unsupportedEncoding')],
  ['UNABLE_DECODE_PARAM', createFindingsResponse([{ ...API_FINDINGS.pathEncoding, place: 'path' }])]
])

/** Returns the response to a request that failed with `error`, or undefined when the error is internal to this instance. */
export function toErrorResponse (error: unknown): ApiResponse | undefined {
  if (error instanceof ApiError) return error.response
  if (typeof error !== 'object' || error === null || !('type' in error)) return undefined
  return RESPONSES_BY_ERROR_TYPE.get(error.type)
}
