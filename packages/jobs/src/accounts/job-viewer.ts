import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { decodeJob } from '../job-record.js'

/** Decides which jobs a caller can read and cancel. */
export interface JobViewer {
  /** Name of the caller's account; undefined for an anonymous caller. */
  readonly account: string | undefined
  /** Whether some jobs aren't visible, so that the account of a job must be known. */
  readonly isRestricted: boolean
  /** Whether a job of this account is visible; undefined for a job without an account. */
  isVisible (account: string | undefined): boolean
}

/** A caller who sees the jobs of one account and those without an account. Without an own account, only the latter. */
export class AccountViewer implements JobViewer {
  readonly account: string | undefined
  readonly isRestricted = true

  constructor (account: string | undefined) {
    this.account = account
  }

  isVisible (account: string | undefined): boolean {
    return account === undefined || account === this.account
  }
}

class UnrestrictedViewer implements JobViewer {
  readonly account = undefined
  readonly isRestricted = false

  isVisible (): boolean {
    return true
  }
}

/** A caller who sees all jobs, which is every caller while the configuration names no account. */
export const UNRESTRICTED_VIEWER: JobViewer = new UnrestrictedViewer()

/** Whether the job of a stored record is visible. The error says why the job's account can't be determined. */
export function isRecordVisible (record: string, viewer: JobViewer): Result<boolean, string> {
  if (!viewer.isRestricted) return Ok(true)
  const job = decodeJob(record)
  return job.err ? Err(job.val) : Ok(viewer.isVisible(job.val.account))
}
