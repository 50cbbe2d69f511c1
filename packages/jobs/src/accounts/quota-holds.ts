import { addResources } from '../capacity-tracker.js'
import type { ReadyStep } from '../job-table.js'
import type { JobStep, Resources } from '../job.js'
import type { StepProgress } from '../step-progress.js'
import { LATE_LIMIT_FACTOR } from '../urgency.js'

interface Hold {
  readonly step: StepProgress
  /** Size of the whole gang. */
  readonly size: Resources
  readonly fromMs: number
  readonly untilMs: number
  /** Last round in which the gang waited. */
  lastRound: number
}

/**
 * Quota that is kept free for gangs. A gang needs all of its quota at once, whereas each run that ends frees a little, which the next
 * small step of the account would take. From the time at which a gang must start to meet its objective, one gang of an account holds its
 * size until it has started, or until three times its objective.
 */
export class QuotaHolds {
  readonly #byAccount = new Map<string, Hold>()
  #round = 0
  #nowMs = 0

  beginRound (nowMs: number): void {
    this.#round++
    this.#nowMs = nowMs
    for (const [account, hold] of this.#byAccount) if (this.#isOver(hold)) this.#byAccount.delete(account)
  }

  /**
   * Records a gang that waits in this round. The one that must start first holds its size, unless the targets could not hold the gang
   * whatever ends on them, which `isPlaceable` tells.
   */
  recordWaiting (account: string, { progress, step }: ReadyStep, isPlaceable: () => boolean): void {
    const hold = this.#byAccount.get(account)
    if (hold?.step === step) {
      if (isPlaceable()) hold.lastRound = this.#round
      else this.#byAccount.delete(account)
      return
    }
    const { objectiveMs, graph: { criticalPathMs: pathMs }, job: { terms } } = progress
    const fromMs = objectiveMs - pathMs
    // Later, the job has no value that the rest of its account should wait for. Of a scheduled job, the occurrence decides.
    const untilMs = objectiveMs + (LATE_LIMIT_FACTOR - 1) * (terms.stretch * pathMs + terms.targetDurationMs)
    if (this.#nowMs < fromMs || this.#nowMs >= untilMs || (hold !== undefined && hold.fromMs <= fromMs)) return
    if (!isPlaceable()) return
    this.#byAccount.set(account, { step, size: computeGangSize(step.step), fromMs, untilMs, lastRound: this.#round })
  }

  /** Returns what an account uses, with the quota that a waiting gang other than this step holds. */
  addHeld (account: string, step: StepProgress, used: Resources): Resources {
    const hold = this.#byAccount.get(account)
    return hold === undefined || hold.step === step || hold.step.hasRuns() ? used : addResources(used, hold.size)
  }

  #isOver ({ step, untilMs, lastRound }: Hold): boolean {
    return this.#nowMs >= untilMs || lastRound < this.#round - 1 || step.hasRuns()
  }
}

function computeGangSize ({ size: { cpuMillis, memoryMb, accelerators }, taskCount }: JobStep): Resources {
  return { cpuMillis: cpuMillis * taskCount, memoryMb: memoryMb * taskCount, accelerators: accelerators * taskCount }
}
