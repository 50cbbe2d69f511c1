import test from 'ava'
import type { CallerRecord } from '../src/caller.js'
import type { ExecutorRun } from '@hibiscusledge/stand-ins/executor-stand-in.js'
import { checkHistory, type CellHistory, type Violation } from '../src/history-checker.js'
import type { TaskRecord } from '@hibiscusledge/stand-ins/task-log.js'
import { createWorkResult } from '@hibiscusledge/stand-ins/work-profile.js'

const PAYLOAD = { number: 1 }

function createCallerRecord (change: Partial<CallerRecord> = {}): CallerRecord {
  return {
    kind: 'posting',
    customer: 'descanso',
    key: 'key',
    payload: PAYLOAD,
    sentAtMs: 1000,
    instances: ['instance-1'],
    requestId: '00-a',
    answeredAtMs: 1100,
    outcome: 'completed',
    reason: undefined,
    result: createWorkResult('00-a', 1, 'posting', PAYLOAD),
    brokenConnections: [],
    ...change
  }
}

function createExecutorRun (change: Partial<ExecutorRun> = {}): ExecutorRun {
  return {
    target: 'executor-1',
    requestId: '00-a',
    attempt: 1,
    kind: 'posting',
    payloadDigest: '',
    startedAtMs: 1020,
    endedAtMs: 1050,
    concurrency: 1,
    isOvercommitted: false,
    ...change
  }
}

function createTaskRecord (change: Partial<TaskRecord> = {}): TaskRecord {
  return {
    worker: 'worker-1',
    taskId: '00-b.1.0',
    requestId: '00-b',
    attempt: 1,
    kind: 'sanitation',
    resources: { cores: 8, memoryMb: 1024, accelerators: 0 },
    payloadDigest: '',
    startedAtMs: 1000,
    endedAtMs: 2000,
    outcome: 'completed',
    ...change
  }
}

function createHistory (change: Partial<CellHistory> = {}): CellHistory {
  return {
    requests: [createCallerRecord()],
    runs: [createExecutorRun()],
    taskRecords: [createTaskRecord()],
    taskViolations: [],
    workerCapacity: { cores: 16, memoryMb: 65_536, accelerators: 0 },
    exclusiveKinds: new Set(['sanitation', 'reconciliation']),
    nonIdempotentKinds: new Set(['posting', 'sanitation']),
    leavingTargets: [],
    plannedStops: [],
    acceptedRevisions: [{ revision: 5, atMs: 1000 }],
    revisionReadings: [{ instance: 'instance-1', revision: 5, atMs: 1500 }, { instance: 'instance-1', revision: 5, atMs: 9000 }],
    ...change
  }
}

const INVALID_HISTORIES: ReadonlyArray<{ title: string, invariant: Violation['invariant'], history: CellHistory }> = [
  { title: 'a request without an outcome', invariant: 'outcome', history: createHistory({ requests: [createCallerRecord({ outcome: undefined })] }) },
  {
    title: 'tasks that exceed the cores of a worker',
    invariant: 'I1',
    history: createHistory({ taskRecords: [createTaskRecord(), createTaskRecord({ taskId: '00-c.1.0', requestId: '00-c' }), createTaskRecord({ taskId: '00-d.1.0', requestId: '00-d' })] })
  },
  {
    title: 'a task that exceeds the memory of a worker',
    invariant: 'I1',
    history: createHistory({ taskRecords: [createTaskRecord({ resources: { cores: 1, memoryMb: 65_537, accelerators: 0 } })] })
  },
  {
    title: 'an overcommit that the worker recorded',
    invariant: 'I1',
    history: createHistory({ taskViolations: [{ type: 'overcommit', atMs: 1, worker: 'worker-1', requestId: '00-b', taskIds: [] }] })
  },
  {
    title: 'two attempts of an exclusive task that overlap on two workers',
    invariant: 'I2',
    history: createHistory({
      taskRecords: [
        createTaskRecord({ kind: 'reconciliation' }),
        createTaskRecord({ kind: 'reconciliation', worker: 'worker-2', attempt: 2, taskId: '00-b.2.0', startedAtMs: 1999, endedAtMs: 2500 })
      ]
    })
  },
  {
    title: 'an exclusive task that started again before its first attempt ended',
    invariant: 'I2',
    history: createHistory({
      taskRecords: [
        { ...createTaskRecord({ kind: 'reconciliation' }), endedAtMs: Number.POSITIVE_INFINITY },
        createTaskRecord({ kind: 'reconciliation', worker: 'worker-2', attempt: 2, taskId: '00-b.2.0', startedAtMs: 3000, endedAtMs: 3500 })
      ]
    })
  },
  {
    title: 'a result of another request',
    invariant: 'I3',
    history: createHistory({ requests: [createCallerRecord({ result: createWorkResult('00-other', 1, 'posting', PAYLOAD) })] })
  },
  {
    title: 'a truncated result',
    invariant: 'I3',
    history: createHistory({ requests: [createCallerRecord({ result: { ...createWorkResult('00-a', 1, 'posting', PAYLOAD), text: '00' } })] })
  },
  {
    title: 'a result for another payload',
    invariant: 'I3',
    history: createHistory({ requests: [createCallerRecord({ result: createWorkResult('00-a', 1, 'posting', { number: 2 }) })] })
  },
  { title: 'the outcome notRun for a request that ran on an executor', invariant: 'I4', history: createHistory({ requests: [createCallerRecord({ outcome: 'notRun' })] }) },
  {
    title: 'the outcome notRun for a request that ran on a worker',
    invariant: 'I4',
    history: createHistory({ requests: [createCallerRecord({ outcome: 'notRun', requestId: '00-b' })] })
  },
  { title: 'a non-idempotent request that ran twice on executors', invariant: 'I5', history: createHistory({ runs: [createExecutorRun(), createExecutorRun({ target: 'executor-2' })] }) },
  {
    title: 'a non-idempotent request that ran twice on a worker, one attempt after the other',
    invariant: 'I5',
    history: createHistory({ taskRecords: [createTaskRecord(), createTaskRecord({ attempt: 2, taskId: '00-b.2.0', startedAtMs: 3000, endedAtMs: 3500 })] })
  },
  {
    title: 'work that started on a target 3,001 ms after the instance list showed it as leaving',
    invariant: 'I6',
    history: createHistory({ leavingTargets: [{ target: 'executor-1', atMs: 1020 - 3001 }] })
  },
  {
    title: 'a planned stop that broke the connection of a caller',
    invariant: 'I7',
    history: createHistory({
      plannedStops: [{ instance: 'instance-1', startedAtMs: 1000, exitCode: 0 }],
      requests: [createCallerRecord({ brokenConnections: [{ instance: 'instance-1', atMs: 1010 }] })]
    })
  },
  {
    title: 'a planned stop with a non-zero exit code',
    invariant: 'I7',
    history: createHistory({ plannedStops: [{ instance: 'instance-1', startedAtMs: 1000, exitCode: 1 }] })
  },
  {
    title: 'an instance that returns to an earlier table revision',
    invariant: 'I8',
    history: createHistory({
      revisionReadings: [{ instance: 'instance-1', revision: 6, atMs: 1500 }, { instance: 'instance-1', revision: 5, atMs: 1600 }]
    })
  },
  {
    title: 'an instance that has not applied a table revision 7,001 ms after its acceptance',
    invariant: 'I8',
    history: createHistory({ revisionReadings: [{ instance: 'instance-1', revision: 4, atMs: 8001 }] })
  }
]

for (const { title, invariant, history } of INVALID_HISTORIES) {
  test(`the checker reports ${title}`, (t) => {
    t.deepEqual([...new Set(checkHistory(history).map((violation) => violation.invariant))], [invariant])
  })
}

const VALID_HISTORIES: ReadonlyArray<{ title: string, history: CellHistory }> = [
  { title: 'a history without violations', history: createHistory() },
  {
    title: 'an exclusive task that starts again when its first attempt has ended',
    history: createHistory({
      taskRecords: [
        createTaskRecord({ kind: 'reconciliation' }),
        createTaskRecord({ kind: 'reconciliation', worker: 'worker-2', attempt: 2, taskId: '00-b.2.0', startedAtMs: 2000, endedAtMs: 2500 })
      ]
    })
  },
  { title: 'two tasks that use all cores of a worker', history: createHistory({ taskRecords: [createTaskRecord(), createTaskRecord({ taskId: '00-c.1.0', requestId: '00-c' })] }) },
  { title: 'an idempotent request that ran twice', history: createHistory({ runs: [createExecutorRun({ kind: 'enquiry' }), createExecutorRun({ kind: 'enquiry' })] }) },
  {
    title: 'a broken connection to an instance without a planned stop',
    history: createHistory({ requests: [createCallerRecord({ brokenConnections: [{ instance: 'instance-2', atMs: 1010 }] })] })
  },
  { title: 'work that started on a target 2,999 ms after the instance list showed it as leaving', history: createHistory({ leavingTargets: [{ target: 'executor-1', atMs: 1020 - 2999 }] }) }
]

for (const { title, history } of VALID_HISTORIES) {
  test(`the checker accepts ${title}`, (t) => {
    t.deepEqual(checkHistory(history), [])
  })
}
