import type { ExplanationAnswer, OutcomeAnswer } from './answer-schemas.js'
import { formatColumns } from './format-columns.js'

export function formatExplanation (explanation: ExplanationAnswer): readonly string[] {
  return formatColumns([
    ['request', explanation.requestId],
    ['pool', explanation.pool],
    ['urgency', explanation.urgency],
    ['position', String(explanation.position)],
    ['estimated wait', `${Math.round(explanation.estimatedWaitMs)} ms`],
    ['reason', explanation.reason]
  ])
}

export function formatOutcome ({ requestId, outcome, result, reason, retryAfterMs }: OutcomeAnswer): readonly string[] {
  return formatColumns([
    ['request', requestId],
    ['outcome', outcome],
    ...(reason === undefined ? [] : [['reason', reason]]),
    ...(retryAfterMs === undefined ? [] : [['retry after', `${retryAfterMs} ms`]]),
    ...(outcome === 'completed' ? [['result', JSON.stringify(result ?? null)]] : [])
  ])
}
