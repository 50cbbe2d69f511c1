import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { z } from 'zod'
import { API_FINDINGS } from './api-messages.js'

/** Converts the issues of a schema validation of `value` into findings with places such as `body.deadlineMs`. */
export function buildFindings (issues: readonly z.core.$ZodIssue[], value: unknown, place: string): Finding[] {
  return issues.flatMap((issue): Finding[] => {
    const issuePlace = [place, ...issue.path.map(String)].join('.')
    if (issue.code === 'unrecognized_keys') return issue.keys.map((key) => ({ ...API_FINDINGS.unknownField, place: `${issuePlace}.${key}` }))
    if (issue.path.length === 0) return [{ ...API_FINDINGS.notObject, place: issuePlace }]
    if (!hasPath(value, issue.path)) return [{ ...API_FINDINGS.missing, place: issuePlace }]
    return [{ ...API_FINDINGS.wrongValue, place: issuePlace, message: issue.message }]
  })
}

function hasPath (value: unknown, path: readonly PropertyKey[]): boolean {
  let current = value
  for (const key of path) {
    if (typeof current !== 'object' || current === null || !Object.hasOwn(current, key)) return false
    current = (current as Record<PropertyKey, unknown>)[key]
  }
  return true
}
