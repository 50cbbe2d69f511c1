import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { EventLogger } from '@hibiscusledge/runtime/event-logger.js'
import type { UnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import { DISPATCH_EVENTS } from './dispatch-events.js'
import type { IntentEntry } from './ledger-entry.js'
import { loadLedger } from './ledger-segment.js'
import { LedgerState } from './ledger-state.js'

const RETRY_DELAY_MS = 200

/** An intent of an earlier owner whose attempt has no recorded end. */
export interface OpenIntent {
  readonly intent: IntentEntry
  /** The coordinator has ended the request as `unknown` and corrects that once the actual outcome is known. */
  readonly isReportedUnknown: boolean
}

/**
 * Reads the open intents of a shard from all partitions. Must be called after the owner record of the shard has changed, so
 * that no intent of an earlier owner can still be committed. Returns no intents when `shouldContinue` ends the retries.
 */
export async function fetchOpenIntents (
  store: KeyValueStore, partitions: readonly UnitId[], unit: UnitId, clock: Clock, logger: EventLogger, shouldContinue: () => boolean
): Promise<OpenIntent[]> {
  const open: OpenIntent[] = []
  for (const partition of partitions) {
    let loaded = await loadLedger(store, partition)
    while (!loaded.ok && shouldContinue()) {
      logger.logWarning(DISPATCH_EVENTS.ledgerLoadFailed, { partition, unit, code: loaded.val.code })
      await new Promise<void>((resolve) => { clock.startTimer(RETRY_DELAY_MS, resolve) })
      loaded = await loadLedger(store, partition)
    }
    if (!loaded.ok) return []
    const state = new LedgerState()
    for (const entry of loaded.val.entries) state.applyEntry(entry)
    for (const [, record] of state.listRecords()) {
      if (record.intent?.unit === unit) open.push({ intent: record.intent, isReportedUnknown: record.outcome !== undefined })
    }
  }
  return open
}
