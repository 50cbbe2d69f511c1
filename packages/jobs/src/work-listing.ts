import type { StoredValue } from '@hibiscusledge/store/key-value-store.js'
import { parseWorkKey, WORK_KEY_KINDS } from './job-keys.js'

/** The accepted jobs and cancellations that the store lists. */
export interface WorkListing {
  readonly jobs: readonly { readonly id: string, readonly record: string }[]
  /** Ids of the jobs whose cancellation is stored. Apply these after the jobs. */
  readonly cancelledIds: readonly string[]
}

/**
 * Splits a listing into jobs and cancellations. A listing is in the order of the keys, whereas a cancellation takes effect only
 * on a job that is known.
 */
export function splitWorkListing (values: readonly StoredValue[]): WorkListing {
  const jobs: { id: string, record: string }[] = []
  const cancelledIds: string[] = []
  for (const { key, value } of values) {
    const parsed = parseWorkKey(key)
    if (parsed === undefined) continue
    if (parsed.kind === WORK_KEY_KINDS.cancel) cancelledIds.push(parsed.id)
    else jobs.push({ id: parsed.id, record: value })
  }
  return { jobs, cancelledIds }
}
