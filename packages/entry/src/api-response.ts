import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { API_ERRORS, type ApiErrorName } from './api-messages.js'

/** Complete response of the HTTP API; `body` is sent as JSON. */
export interface ApiResponse {
  readonly status: number
  readonly body: unknown
  readonly headers?: Readonly<Record<string, string>>
}

export function createErrorResponse (name: ApiErrorName, fields: Readonly<Record<string, unknown>> = {}): ApiResponse {
  const { status, code, message } = API_ERRORS[name]
  return { status, body: { code, message, ...fields } }
}

export function createFindingsResponse (findings: readonly Finding[]): ApiResponse {
  return { status: 400, body: { findings: findings.map(({ code, place, message }) => ({ code, place, message })) } }
}
