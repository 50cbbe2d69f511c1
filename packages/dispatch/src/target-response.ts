import type { Dispatcher } from 'undici'
import { z } from 'zod'

/** Largest body that is read from a target; the message limit between instances bounds it. */
export const RESULT_MAX_BYTES = 768 * 1024

/** Reads a JSON body up to the limit; rejects when it is larger, cut off or not JSON. */
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

/** Error codes of attempts to connect: nothing was sent. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

/** Whether the error proves that the request was never sent. */
export function isConnectError (error: unknown): boolean {
  return error instanceof Error && 'code' in error && CONNECT_ERROR_CODES.has(String(error.code))
}

/** The form in which targets report errors. */
export const targetErrorSchema = z.object({ message: z.string() })

/** A target marks an answer with this header when it proves that nothing was run. */
export function isMarkedNotRun (response: Dispatcher.ResponseData): boolean {
  return response.headers['x-not-run'] === 'true'
}

export function formatError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
