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

/**
 * Reports that no usable response was received. Only for calls that can't have changed anything: reads, and requests that were
 * never sent.
 */
export function createFailureReport (client: ApiClient, failure: ApiFailure): CommandReport {
  if (failure.mayHaveArrived) {
    return createErrorReport(EXIT_CODES.unknown, 'noAnswer', REPORT_TEXTS.noAnswer(client.address, failure.reason))
  }
  return createErrorReport(EXIT_CODES.unknown, 'notReached', REPORT_TEXTS.notReached(client.address, failure.reason))
}

/** Reports a response with an unexpected status. The exit code is `negative` for 404, and otherwise `unknown`. */
export function createStatusErrorReport (response: ApiResponse): CommandReport {
  const { code, message, reason } = parseApiErrorBody(response)
  const exitCode = response.status === 404 ? EXIT_CODES.negative : EXIT_CODES.unknown
  const detail = [message, reason].filter((text) => text !== undefined).join(': ')
  return createErrorReport(exitCode, code ?? `status${response.status}`, REPORT_TEXTS.refused(response.status, detail))
}

/** Returns the fields of the API's error body; none when the body has another form. */
export function parseApiErrorBody (response: ApiResponse): z.infer<typeof errorResponse> {
  const parsed = errorResponse.safeParse(response.body)
  return parsed.success ? parsed.data : {}
}

/** Sends a GET request and reports its response when the status is 200 and the body matches `schema`. */
export async function reportResponse<Body> (
  client: ApiClient, path: string, schema: z.ZodType<Body>, createReport: (body: Body) => CommandReport
): Promise<CommandReport> {
  const result = await client.send('GET', path)
  if (!result.ok) return createFailureReport(client, result.val)
  if (result.val.status !== 200) return createStatusErrorReport(result.val)
  const parsed = schema.safeParse(result.val.body)
  if (parsed.success) return createReport(parsed.data)
  // `mayHaveArrived: true` selects the report of an unusable response. The request certainly arrived.
  return createFailureReport(client, { mayHaveArrived: true, reason: FAILURE_REASONS.unexpected(result.val.status) })
}
