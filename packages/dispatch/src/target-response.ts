import type { Dispatcher } from 'undici'
import { z } from 'zod'

/** Maximum size of an answer of a target. It must fit into a message between instances. */
export const RESULT_MAX_BYTES = 768 * 1024

/** Reads a JSON body. Rejects when it is larger than `RESULT_MAX_BYTES`, truncated or not valid JSON. */
export async function readJsonBody (body: Dispatcher.ResponseData['body']): Promise<unknown> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length
    if (bytes > RESULT_MAX_BYTES) {
      body.destroy()
      throw new Error(`the answer is larger than ${RESULT_MAX_BYTES} bytes`)
    }
    chunks.push(chunk as Buffer)
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'))
}

/** Error codes of failures to connect, after which nothing has been sent. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

/** Whether the error proves that the request was never sent. */
export function isConnectError (error: unknown): boolean {
  return error instanceof Error && 'code' in error && CONNECT_ERROR_CODES.has(String(error.code))
}

/** An error in an answer of a target. */
export const targetErrorSchema = z.object({ message: z.string() })

/** Whether the target's answer carries the header which guarantees that it did not run the order. */
export function isMarkedNotRun (response: Dispatcher.ResponseData): boolean {
  return response.headers['x-not-run'] === 'true'
}

export function formatError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
