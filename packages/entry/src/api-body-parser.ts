import { isUtf8 } from 'node:buffer'
import type { IncomingMessage, ServerResponse } from 'node:http'

export const NOT_UTF8_ERROR_TYPE = 'body.notUtf8'

interface JsonBodyOptions {
  readonly limit: number
  readonly strict: boolean
  readonly inflate: boolean
  readonly type: () => boolean
  readonly verify: (request: IncomingMessage, response: ServerResponse, body: Buffer, encoding: string) => void
}

/** Returns the options of the body parser. Compressed bodies are rejected, because their size is known only after inflating them. */
export function createJsonBodyOptions (limitBytes: number): JsonBodyOptions {
  return { limit: limitBytes, strict: false, inflate: false, type: () => true, verify: requireUtf8 }
}

// The decoder would replace invalid sequences, and the target would receive a payload that differs from the caller's.
function requireUtf8 (_request: IncomingMessage, _response: ServerResponse, body: Buffer, encoding: string): void {
  if (encoding !== 'utf-8' || !isUtf8(body)) throw Object.assign(new Error('body is not UTF-8'), { type: NOT_UTF8_ERROR_TYPE })
}
