import { AccountTable } from '../src/accounts/account-table.js'
import { AccountUsage } from '../src/accounts/account-usage.js'
import { QuotaGate } from '../src/accounts/quota-gate.js'
import { AdviceCache } from '../src/advice-cache.js'
import type { ReadyStep } from '../src/job-table.js'
import { StepSelector, type RoundTargets } from '../src/step-selector.js'
import { TargetInventory } from '../src/target-inventory.js'
import { TargetSpeeds } from '../src/targets/target-speeds.js'
import type { TargetView } from '../src/target-view.js'
import { WorkMeter } from '../src/turns/work-meter.js'

export const CAPACITY = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 }
export const NOW_MS = 1_000
export const TARGET: TargetView = { id: 't0', service: 'ledger', rack: 'r1', labels: [], capacity: CAPACITY, free: CAPACITY, runs: [] }
export const ROUND: RoundTargets = { nowMs: NOW_MS, usable: [TARGET], activeIds: new Map([['ledger', ['t0']]]), decisions: new Map() }

export function createSelector (
  hasSpareTime = true, quota = new QuotaGate(() => new AccountTable(), new AccountUsage(), () => {}), work = new WorkMeter()
): StepSelector {
  const inventory = new TargetInventory(new Map(), new TargetSpeeds())
  return new StepSelector({ cache: new AdviceCache(), hasSpareTime: () => hasSpareTime }, inventory, quota, work)
}

export function listSelected (selector: StepSelector, ready: readonly ReadyStep[]): string[] {
  return [...selector.select(ready, ROUND)].map(({ ready: { progress } }) => progress.job.id)
}
