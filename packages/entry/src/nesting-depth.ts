export const MAX_NESTING_DEPTH = 100

/**
 * Whether a JSON value has more than `limit` levels of arrays and objects. The encoders that process the value later
 * recurse on each level, and a malicious body could overflow their stack.
 */
export function isNestedDeeper (value: unknown, limit: number): boolean {
  if (typeof value !== 'object' || value === null) return false
  if (limit === 0) return true
  if (Array.isArray(value)) return value.some((item) => isNestedDeeper(item, limit - 1))
  for (const key in value) {
    if (isNestedDeeper((value as Record<string, unknown>)[key], limit - 1)) return true
  }
  return false
}
