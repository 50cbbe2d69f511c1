import test from 'ava'
import { toRequestId, toTargetId, toUnitId } from '@hibiscusledge/runtime/identifiers.js'
import type { IntentEntry, LedgerEntry, OutcomeEntry } from '../src/ledger-entry.js'
import { LedgerState } from '../src/ledger-state.js'

const ID = toRequestId('00-a')
const FACTS = { requestId: ID, fingerprint: 'f', kind: 'posting', customer: 'harambee', team: '' }

function createIntent (attempt: number): IntentEntry {
  return {
    type: 'intent',
    facts: FACTS,
    work: {
      pool: 'p',
      urgency: 'high',
      resources: { cores: 0, memoryMb: 0, accelerators: 0 },
      taskCount: 1,
      isIdempotent: false,
      isExclusive: false,
      isResumable: false,
      isService: false
    },
    attempt,
    unit: toUnitId('executor/a'),
    epoch: 1,
    targets: [toTargetId('executor-1')],
    deadlineWallMs: 1000,
    recordedWallMs: 0
  }
}

function createOutcome (outcome: 'completed' | 'notRun' | 'unknown', endedWallMs = 10): OutcomeEntry {
  const body = outcome === 'completed' ? { requestId: ID, outcome, result: 1 } : { requestId: ID, outcome, reason: 'r' }
  return { type: 'outcome', requestId: ID, fingerprint: 'f', outcome: body, isCancelled: false, endedWallMs }
}

const ACCEPTED: LedgerEntry = { type: 'accepted', facts: { ...FACTS, payload: { amount: 3 } }, deadlineWallMs: 1000 }

const CASES: ReadonlyArray<{ title: string, entries: LedgerEntry[], accepted: boolean, intent?: number, outcome?: 'completed' | 'notRun' | 'unknown' }> = [
  { title: 'an accepted request is pending', entries: [ACCEPTED], accepted: true },
  { title: 'an intent stays open until its end is known', entries: [ACCEPTED, createIntent(1)], accepted: true, intent: 1 },
  {
    title: 'a withdrawn intent allows another attempt of the request',
    entries: [ACCEPTED, createIntent(1), { type: 'withdrawn', requestId: ID, attempt: 1 }],
    accepted: true
  },
  {
    title: 'a late withdrawal of an earlier attempt keeps the current intent',
    entries: [createIntent(2), { type: 'withdrawn', requestId: ID, attempt: 1 }],
    accepted: false,
    intent: 2
  },
  { title: 'a completed outcome closes the intent', entries: [createIntent(1), createOutcome('completed')], accepted: false, outcome: 'completed' },
  {
    title: 'an unknown outcome keeps the intent, so that the target is still polled',
    entries: [createIntent(1), createOutcome('unknown')],
    accepted: false,
    intent: 1,
    outcome: 'unknown'
  },
  {
    title: 'an unknown outcome is replaced by a known one',
    entries: [createIntent(1), createOutcome('unknown'), createOutcome('completed')],
    accepted: false,
    outcome: 'completed'
  },
  {
    title: 'a request accepted again after notRun is pending',
    entries: [ACCEPTED, createOutcome('notRun'), ACCEPTED],
    accepted: true
  },
  {
    title: 'a new intent keeps the record that an earlier attempt ran',
    entries: [createIntent(1), { type: 'withdrawn', requestId: ID, attempt: 1, hasRun: true }, createIntent(2)],
    accepted: false,
    intent: 2
  },
  { title: 'an intent after notRun reopens the request', entries: [createOutcome('notRun'), createIntent(2)], accepted: false, intent: 2 }
]

for (const { title, entries, accepted, intent, outcome } of CASES) {
  test(title, (t) => {
    const state = new LedgerState()
    for (const entry of entries) state.applyEntry(entry)
    const record = state.findRecord(ID)
    t.is(record?.accepted !== undefined, accepted)
    t.is(record?.intent?.attempt, intent)
    t.is(record?.outcome?.outcome.outcome, outcome)

    const replayed = new LedgerState()
    for (const entry of state.buildEntries()) replayed.applyEntry(entry)
    t.deepEqual(replayed.findRecord(ID), record, 'the compacted entries give the same state')
  })
}

test('a request that has only a withdrawn intent is removed, so that the ledger does not grow', (t) => {
  const state = new LedgerState()
  state.applyEntry(createIntent(1))
  state.applyEntry({ type: 'withdrawn', requestId: ID, attempt: 1 })
  t.is(state.countRecords(), 0)
})

test('only outcomes from before the given time are pruned', (t) => {
  const state = new LedgerState()
  state.applyEntry(createOutcome('completed', 100))
  state.pruneOutcomes(100)
  t.is(state.countRecords(), 1)
  state.pruneOutcomes(101)
  t.is(state.countRecords(), 0)
})
