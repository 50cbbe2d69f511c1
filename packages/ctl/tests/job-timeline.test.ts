import test from 'ava'
import { JobTimeline, parseLogLine } from '../src/job-timeline.js'

const START_MS = 1_700_000_000_000

function createLine (afterMs: number, event: string, fields: Readonly<Record<string, unknown>> = {}): string {
  return JSON.stringify({ level: 30, time: START_MS + afterMs, instance: 'a', event, ...fields })
}

const PLACED = createLine(100, 'task.placed', { jobId: 'aa', step: 'aa.0.0', runs: [[0, 1, 't1'], [1, 1, 't2']] })
const ENDED = createLine(5_000, 'task.ended', { jobId: 'aa', task: 'aa.0.0.0', run: 1, target: 't1', outcome: 'done' })

interface Case {
  readonly title: string
  readonly lines: readonly string[]
  readonly expected: readonly string[]
}

const cases: readonly Case[] = [
  {
    title: 'lists records of the job in order of time, without those of other jobs',
    lines: [ENDED, PLACED, createLine(200, 'task.placed', { jobId: 'bb', runs: [] })],
    expected: ['task.placed', 'task.ended']
  },
  {
    title: 'includes records that name a step or task of the job',
    lines: [createLine(50, 'advice.received', { step: 'aa.0.0' }), PLACED],
    expected: ['advice.received', 'task.placed']
  },
  {
    title: 'includes events of the job\'s targets, without those of other targets',
    lines: [PLACED, createLine(3_000, 'target.lost', { target: 't1' }), createLine(3_100, 'target.lost', { target: 't9' }), ENDED],
    expected: ['task.placed', 'target.lost', 'task.ended']
  },
  {
    title: 'includes ownership changes only around the records of the job',
    lines: [createLine(-60_000, 'ownership.acquired'), PLACED, createLine(4_000, 'ownership.lost'), ENDED],
    expected: ['task.placed', 'ownership.lost', 'task.ended']
  },
  { title: 'is empty for a job that no record names', lines: [createLine(0, 'store.lost')], expected: [] }
]

for (const { title, lines, expected } of cases) {
  test(title, (t) => {
    const timeline = new JobTimeline('aa')
    for (const line of lines) {
      const record = parseLogLine(line)
      if (record !== undefined) timeline.add(record)
    }
    t.deepEqual(timeline.listRecords().map(({ event }) => event), expected)
  })
}

test('rejects lines without a record and skips the prefix of another program', (t) => {
  t.is(parseLogLine('stopped'), undefined)
  t.is(parseLogLine('{"event":5}'), undefined)
  t.is(parseLogLine(`  3.1 frontend-1 ${PLACED}`)?.event, 'task.placed')
})
