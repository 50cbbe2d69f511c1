import type { AdviceCandidate } from './advice-selection.js'
import type { JobStep } from './job.js'
import type { PlacementRound } from './placement-round.js'
import type { TargetSession } from './target-session.js'
import type { RunView, TargetView } from './target-view.js'
import { RUN_PHASES } from './task-run.js'
import type { TargetSpeeds } from './targets/target-speeds.js'

const RACK_LABEL_PATTERN = /^r\d/

/** All targets that the owner has sessions with, as placement queries them. */
export class TargetInventory {
  readonly #sessions: ReadonlyMap<string, TargetSession>
  readonly #speeds: TargetSpeeds

  constructor (sessions: ReadonlyMap<string, TargetSession>, speeds: TargetSpeeds) {
    this.#sessions = sessions
    this.#speeds = speeds
  }

  find (id: string): TargetSession | undefined {
    return this.#sessions.get(id)
  }

  /** Lists the usable targets. Their runs are assumed to end no earlier than `earliestEndMs`, a monotonic time. */
  listUsable (nowMs: number, earliestEndMs: number): TargetView[] {
    const usable = [...this.#sessions.values()].filter((session) => session.isUsable(nowMs))
    return usable.map((session) => buildView(session, nowMs, earliestEndMs, this.#speeds.readRelativeRunTime(session.id, nowMs)))
  }

  /** Groups the ids of the active targets by service, usable ones first. */
  groupActive (nowMs: number): Map<string, string[]> {
    const active = [...this.#sessions.values()].filter((session) => session.isActive())
    const groups = new Map<string, string[]>()
    for (const isUsable of [true, false]) {
      for (const session of active) {
        if (session.isUsable(nowMs) !== isUsable) continue
        const { service } = session.readDescription()
        const group = groups.get(service)
        if (group === undefined) groups.set(service, [session.id])
        else group.push(session.id)
      }
    }
    return groups
  }

  /** Whether a target has a label; true without a label. */
  hasLabel (id: string, label: string | undefined): boolean {
    return label === undefined || this.#sessions.get(id)?.readDescription().labels.includes(label) === true
  }

  /** Lists those of the targets that the policy service may be asked about for a step. */
  listCandidates (round: PlacementRound, step: JobStep, targetIds: readonly string[]): AdviceCandidate[] {
    return targetIds.flatMap((id) => {
      const session = this.#sessions.get(id)
      if (session === undefined || !this.hasLabel(id, step.requiredLabel)) return []
      const rack = findRack(session.readDescription().labels)
      return [{
        id,
        capacity: session.capacity.readCapacity(),
        rack,
        freeSlots: round.countFreeSlots(id, step),
        expectedSlots: round.expected.countSlots(id, step)
      }]
    })
  }
}

function findRack (labels: readonly string[]): string | undefined {
  return labels.find((label) => RACK_LABEL_PATTERN.test(label))
}

function buildView (session: TargetSession, nowMs: number, earliestEndMs: number, relativeRunTime: number): TargetView {
  const { id, service, labels, capacity } = session.readDescription()
  let unconfirmedStarts = 0
  const runs: RunView[] = []
  for (const { size, expectedEndMs, phase } of session.listRuns()) {
    runs.push({ size, expectedEndMs: Math.max(earliestEndMs, expectedEndMs), overdueMs: Math.max(0, nowMs - expectedEndMs) })
    if (phase === RUN_PHASES.reserved || phase === RUN_PHASES.sent) unconfirmedStarts++
  }
  return {
    id, service, labels, capacity, rack: findRack(labels), free: session.capacity.readFree(), runs, unconfirmedStarts, relativeRunTime
  }
}
