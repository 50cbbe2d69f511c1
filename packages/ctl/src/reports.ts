import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { z } from 'zod'
import { errorResponse } from './response-schemas.js'
import type { ApiResponse, ApiClient, ApiFailure } from './api-client.js'
import type { CommandReport } from './command.js'
import { FAILURE_REASONS, REPORT_TEXTS } from './ctl-messages.js'
import { EXIT_CODES } from './exit-codes.js'
import { escapeControlCharacters } from './format-columns.js'
import { formatFindingLines } from './table-files.js'

/** Reports an invalid command line, setting or file. */
export function createUsageReport (findings: readonly Finding[]): CommandReport {
  return { exitCode: EXIT_CODES.usage, data: { findings }, lines: [], errorLines: formatFindingLines(findings) }
}

/** Creates a report that is printed to the standard error. `code` is for programs, `message` for people. */
export function createErrorReport (exitCode: CommandReport['exitCode'], code: string, message: string): CommandReport {
  return { exitCode, data: { code, message }, lines: [], errorLines: [escapeControlCharacters(message)] }
}

/** Reports a call that has changed nothing and got no usable response: a read, or a request that was never sent. */
export function createFailureReport (client: ApiClient, failure: ApiFailure): CommandReport {
  if (failure.mayHaveArrived) {
    return createErrorReport(EXIT_CODES.unknown, 'noAnswer', REPORT_TEXTS.noAnswer(client.address, failure.reason))
  }
  return createErrorReport(EXIT_CODES.unknown, 'notReached', REPORT_TEXTS.notReached(client.address, failure.reason))
}

/** Reports a response with an unexpected status. 404 is a negative result; any other status leaves the result unknown. */
export function createRefusalReport (response: ApiResponse): CommandReport {
  const { code, message, reason } = parseErrorResponse(response)
  const exitCode = response.status === 404 ? EXIT_CODES.negative : EXIT_CODES.unknown
  const detail = [message, reason].filter((text) => text !== undefined).join(': ')
  return createErrorReport(exitCode, code ?? `status${response.status}`, REPORT_TEXTS.refused(response.status, detail))
}

export function parseErrorResponse (response: ApiResponse): z.infer<typeof errorResponse> {
  const parsed = errorResponse.safeParse(response.body)
  return parsed.success ? parsed.data : {}
}

/** Sends a GET request and reports its response when the status is 200 and the body matches `schema`. */
export async function reportResponse<Body> (
  client: ApiClient, path: string, schema: z.ZodType<Body>, createReport: (body: Body) => CommandReport
): Promise<CommandReport> {
  const result = await client.send('GET', path)
  if (!result.ok) return createFailureReport(client, result.val)
  if (result.val.status !== 200) return createRefusalReport(result.val)
  const parsed = schema.safeParse(result.val.body)
  if (parsed.success) return createReport(parsed.data)
  return createFailureReport(client, { mayHaveArrived: true, reason: FAILURE_REASONS.unexpected(result.val.status) })
}
