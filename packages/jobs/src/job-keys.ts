/** Prefix of the jobs and cancellations that instances accept from callers. */
export const WORK_PREFIX = 'work/'
const JOB_PREFIX = 'work/job/'
const CANCEL_PREFIX = 'work/cancel/'
/** Prefix of the progress records that the owner writes. */
export const PROGRESS_PREFIX = 'progress/'

/** Prefix of the final states. All other records of a finished job are deleted, so that a new owner reads only unfinished work. */
export const FINISHED_PREFIX = 'finished/'

/** Key of the owner of all targets, bound to the owner's lease. */
export const OWNER_KEY = 'owner/current'
/** Key of the current term, which increases with each change of owner. */
export const TERM_KEY = 'owner/term'
/** Formats the key that a progress writer rewrites in each of its transactions, so that one carried out late fails. */
export function formatWriteSequenceKey (writer: number): string {
  return `owner/write-sequence/${writer}`
}

export function formatJobKey (id: string): string {
  return `${JOB_PREFIX}${id}`
}

export function formatCancelKey (id: string): string {
  return `${CANCEL_PREFIX}${id}`
}

export function formatProgressKey (id: string): string {
  return `${PROGRESS_PREFIX}${id}`
}

export function formatFinishedKey (id: string): string {
  return `${FINISHED_PREFIX}${id}`
}

export const WORK_KEY_KINDS = { job: 'job', cancel: 'cancel' } as const
export type WorkKeyKind = typeof WORK_KEY_KINDS[keyof typeof WORK_KEY_KINDS]

/** Parses a key under `WORK_PREFIX` into its kind and the id of the job; undefined for any other key. */
export function parseWorkKey (key: string): { readonly kind: WorkKeyKind, readonly id: string } | undefined {
  if (key.startsWith(JOB_PREFIX)) return { kind: WORK_KEY_KINDS.job, id: key.slice(JOB_PREFIX.length) }
  if (key.startsWith(CANCEL_PREFIX)) return { kind: WORK_KEY_KINDS.cancel, id: key.slice(CANCEL_PREFIX.length) }
  return undefined
}
