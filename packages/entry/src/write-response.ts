import type { ServerResponse } from 'node:http'
import { createErrorResponse, type ApiResponse } from './api-response.js'

/**
 * Writes a complete response. Serializes the body first: when that fails, it throws before any byte is written, and the
 * caller of this function can still respond with an internal error.
 */
export function writeResponse (response: ServerResponse, apiResponse: ApiResponse, isClosing: boolean): void {
  if (response.headersSent || response.destroyed) return
  const text = JSON.stringify(apiResponse.body)
  response.writeHead(apiResponse.status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
    ...apiResponse.headers,
    ...(isClosing ? { Connection: 'close' } : {})
  })
  response.end(text)
}

/** Formats a raw HTTP response for a connection on which the HTTP parser has failed. */
export function formatRawResponse (name: Parameters<typeof createErrorResponse>[0], reasonPhrase: string): string {
  const { status, body } = createErrorResponse(name)
  const text = JSON.stringify(body)
  return [
    `HTTP/1.1 ${status} ${reasonPhrase}`,
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(text)}`,
    'Connection: close',
    '',
    text
  ].join('\r\n')
}
