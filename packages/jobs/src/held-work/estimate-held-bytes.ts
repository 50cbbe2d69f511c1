import type { Job } from '../job.js'

/** Lengths of the parts of a job's record. The owner's memory grows in proportion to them. */
const JOB_BYTES = 400
const STEP_BYTES = 260
const DEPENDENCY_BYTES = 8

/** Estimates the length of a job's record, which doesn't depend on how many tasks its steps have. */
export function estimateHeldBytes ({ specification, steps }: Job): number {
  let bytes = JOB_BYTES + specification.length
  for (const { after, requiredLabel = '', dataRack = '' } of steps) {
    bytes += STEP_BYTES + after.length * DEPENDENCY_BYTES + requiredLabel.length + dataRack.length
  }
  return bytes
}
