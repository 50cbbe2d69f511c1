import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { z } from 'zod'
import { errorResponse } from './response-schemas.js'
import type { ApiResponse, ApiClient, ApiFailure } from './api-client.js'
import type { CommandReport } from './command.js'
import { RESPONSE_FAILURE_REASONS, REPORT_TEXTS } from './ctl-messages.js'
import { EXIT_CODES } from './exit-codes.js'
import { escapeControlCharacters } from './format-columns.js'
import { formatFindingLines } from './table-files.js'

/** Wrong usage, settings or files. */
export function createUsageReport (findings: readonly Finding[]): CommandReport {
  return { exitCode: EXIT_CODES.usage, data: { findings }, lines: [], errorLines: formatFindingLines(findings) }
}

/** A report on the standard error: `code` for programs, `message` for people. */
export function createErrorReport (exitCode: CommandReport['exitCode'], code: string, message: string): CommandReport {
  return { exitCode, data: { code, message }, lines: [], errorLines: [escapeControlCharacters(message)] }
}

/** A call that only reads and got no usable answer. */
export function createFailureReport (client: ApiClient, failure: ApiFailure): CommandReport {
  if (failure.mayHaveArrived) {
    return createErrorReport(EXIT_CODES.unknown, 'noAnswer', REPORT_TEXTS.noAnswer(client.address, failure.reason))
  }
  return createErrorReport(EXIT_CODES.unknown, 'notReached', REPORT_TEXTS.notReached(client.address, failure.reason))
}

/** An answer of another status than the command expects. 404 is a negative answer, others leave it open. */
export function createRefusalReport (answer: ApiResponse): CommandReport {
  const { code, message, reason } = parseErrorResponse(answer)
  const exitCode = answer.status === 404 ? EXIT_CODES.negative : EXIT_CODES.unknown
  const detail = [message, reason].filter((text) => text !== undefined).join(': ')
  return createErrorReport(exitCode, code ?? `status${answer.status}`, REPORT_TEXTS.refused(answer.status, detail))
}

export function parseErrorResponse (answer: ApiResponse): z.infer<typeof errorResponse> {
  const parsed = errorResponse.safeParse(answer.body)
  return parsed.success ? parsed.data : {}
}

/** Sends a reading call and reports its answer of status 200 when it has the form of `schema`. */
export async function reportResponse<Answer> (
  client: ApiClient, path: string, schema: z.ZodType<Answer>, createReport: (answer: Answer) => CommandReport
): Promise<CommandReport> {
  const reply = await client.send('GET', path)
  if (!reply.ok) return createFailureReport(client, reply.val)
  if (reply.val.status !== 200) return createRefusalReport(reply.val)
  const parsed = schema.safeParse(reply.val.body)
  if (parsed.success) return createReport(parsed.data)
  return createFailureReport(client, { mayHaveArrived: true, reason: RESPONSE_FAILURE_REASONS.unexpected(reply.val.status) })
}
