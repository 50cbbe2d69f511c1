import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { RecoveredStart } from '@hibiscusledge/scheduling/shard-scheduler.js'
import type { HandOverMessage } from './dispatch-messages.js'
import { buildWorkItem, type ShardAttempt } from './shard-attempt.js'

/** Builds the message to a successor that lists the attempts which still run on the targets and those which have ended. */
export function buildHandOver (unit: UnitId, running: readonly ShardAttempt[], ended: readonly ShardAttempt[]): HandOverMessage {
  return {
    unit,
    running: running.map(({ requestId, attempt, item, work, targets }) => ({
      requestId, attempt, kind: item.kind, customer: item.customer, team: item.team, work, targets: [...targets]
    })),
    ended: ended.map(({ requestId, attempt }) => ({ requestId, attempt }))
  }
}

/** Converts a run of the former owner to the start that the successor's scheduler counts as running. */
export function convertToRecoveredStart (running: HandOverMessage['running'][number], nowMs: number): RecoveredStart {
  const item = buildWorkItem({ ...running, retries: 0, excludedTargets: [] }, nowMs, nowMs)
  return { item, targets: running.targets, startedAtMs: nowMs }
}
