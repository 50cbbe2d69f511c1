import type { Submission } from '@hibiscusledge/dispatch/request-gateway.js'
import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { IncomingHttpHeaders } from 'node:http'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { API_FINDINGS } from './api-messages.js'
import { buildFindings } from './build-findings.js'
import { MAX_NESTING_DEPTH, isNestedDeeper } from './nesting-depth.js'
import { submissionSchema } from './submission-schema.js'

/** Caller's request as received, with the body parsed as JSON. */
export interface ReceivedSubmission {
  readonly body: unknown
  readonly query: Readonly<Record<string, unknown>>
  readonly headers: IncomingHttpHeaders
  /** Number of Idempotency-Key headers in the request. */
  readonly idempotencyKeyCount: number
}

export interface ParsedSubmission {
  readonly submission: Omit<Submission, 'trace'>
  /** Undefined when the caller gave no wait; the setting `defaultWaitMs` applies then. */
  readonly waitMs: number | undefined
}

export const MAX_WAIT_MS = 86_400_000

const IDEMPOTENCY_KEY_PATTERN = /^[\x20-\x7e]{1,255}$/
const WAIT_PATTERN = /^[0-9]{1,8}$/

/** Validates body, query and headers of a submission. Returns all findings at once. */
export function parseSubmission (received: ReceivedSubmission): Result<ParsedSubmission, readonly Finding[]> {
  const findings: Finding[] = []
  const { body } = received
  const parsed = submissionSchema.safeParse(body)
  if (!parsed.success) findings.push(...buildFindings(parsed.error.issues, body, 'body'))
  if (isObject(body) && isNestedDeeper(body['payload'], MAX_NESTING_DEPTH)) findings.push({ ...API_FINDINGS.nestingTooDeep, place: 'body.payload' })

  const idempotencyKey = received.headers['idempotency-key'] as string | undefined
  if (idempotencyKey !== undefined && (received.idempotencyKeyCount !== 1 || !IDEMPOTENCY_KEY_PATTERN.test(idempotencyKey))) {
    findings.push({ ...API_FINDINGS.idempotencyKey, place: 'header.Idempotency-Key' })
  }
  const waitMs = parseWait(received.query['wait'])
  if (Number.isNaN(waitMs)) findings.push({ ...API_FINDINGS.wait, place: 'query.wait' })
  if (findings.length > 0 || !parsed.success) return Err(findings)
  const { kind, customer, team, deadlineMs, payload } = parsed.data
  return Ok({
    submission: { kind, customer, team: team ?? '', deadlineMs, payload, idempotencyKey, isWaiting: waitMs !== 0 },
    waitMs
  })
}

/** Returns NaN when the parameter is malformed. */
function parseWait (wait: unknown): number | undefined {
  if (wait === undefined) return undefined
  if (typeof wait !== 'string' || !WAIT_PATTERN.test(wait)) return NaN
  const waitMs = Number(wait)
  return waitMs <= MAX_WAIT_MS ? waitMs : NaN
}

function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
