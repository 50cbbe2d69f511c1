import type { JobProgress } from '../job-progress.js'

/** Tells which jobs go beyond the share of capacity that their account is guaranteed. */
export interface ShareClassifier {
  isBeyondShare (progress: JobProgress, nowMs: number): boolean
}
