import type { ExplanationResponse, OutcomeResponse } from './response-schemas.js'
import { formatColumns } from './format-columns.js'

/** Formats an explanation. `position` counts the queued requests of the same class and team, from 1. */
export function formatExplanation (explanation: ExplanationResponse): readonly string[] {
  return formatColumns([
    ['request', explanation.requestId],
    ['pool', explanation.pool],
    ['urgency', explanation.urgency],
    ['position', String(explanation.position)],
    ['estimated wait', `${Math.round(explanation.estimatedWaitMs)} ms`],
    ['reason', explanation.reason]
  ])
}

export function formatOutcome ({ requestId, outcome, result, reason, retryAfterMs }: OutcomeResponse): readonly string[] {
  return formatColumns([
    ['request', requestId],
    ['outcome', outcome],
    ...(reason === undefined ? [] : [['reason', reason]]),
    ...(retryAfterMs === undefined ? [] : [['retry after', `${retryAfterMs} ms`]]),
    ...(outcome === 'completed' ? [['result', JSON.stringify(result ?? null)]] : [])
  ])
}
