/** Prefix of what the instances accept from callers. */
export const WORK_PREFIX = 'work/'
const JOB_PREFIX = 'work/job/'
const CANCEL_PREFIX = 'work/cancel/'
/** Prefix of what the owner records about the jobs. */
export const PROGRESS_PREFIX = 'progress/'

/** Prefix of the final states. A finished job leaves nothing else, so that a new owner reads only the work at hand. */
export const FINISHED_PREFIX = 'finished/'

/** The owner of all targets. The key has the owner's lease. */
export const OWNER_KEY = 'owner/current'
/** Number of owners so far. */
export const TERM_KEY = 'owner/term'
/** Rewritten with each write of a lane, so that a write that is carried out late fails. */
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

/** Tells what a key under `WORK_PREFIX` holds, and for which job; undefined for any other key. */
export function parseWorkKey (key: string): { readonly kind: WorkKeyKind, readonly id: string } | undefined {
  if (key.startsWith(JOB_PREFIX)) return { kind: WORK_KEY_KINDS.job, id: key.slice(JOB_PREFIX.length) }
  if (key.startsWith(CANCEL_PREFIX)) return { kind: WORK_KEY_KINDS.cancel, id: key.slice(CANCEL_PREFIX.length) }
  return undefined
}
