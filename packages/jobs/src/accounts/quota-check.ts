import type { JobStep, Resources } from '../job.js'

/** Bounds the length of a refusal, since a job may have thousands of steps. */
const MAXIMUM_EXCESSES = 20
const RESOURCES: ReadonlyArray<keyof Resources> = ['cpuMillis', 'memoryMb', 'accelerators']

/** A step that can't run in its account: one task, or the gang as a whole, takes more of a resource than the account may use. */
export interface QuotaExcess {
  readonly step: number
  readonly resource: keyof Resources
  readonly isGang: boolean
  readonly required: number
  readonly limit: number
}

/** Finds the steps of which a task, or the whole gang, exceeds the account's quota. Lists a bounded number of them. */
export function findQuotaExcesses (steps: readonly JobStep[], quota: Resources): readonly QuotaExcess[] {
  const excesses: QuotaExcess[] = []
  for (const [index, step] of steps.entries()) {
    for (const resource of RESOURCES) {
      const limit = quota[resource]
      const required = step.size[resource] * (step.isGang ? step.taskCount : 1)
      if (limit <= 0 || required <= limit) continue
      excesses.push({ step: index, resource, isGang: step.isGang, required, limit })
      if (excesses.length === MAXIMUM_EXCESSES) return excesses
    }
  }
  return excesses
}
