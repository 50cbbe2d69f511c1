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
    title: 'lines of the job are told in order of time, those of others are left out',
    lines: [ENDED, PLACED, createLine(200, 'task.placed', { jobId: 'bb', runs: [] })],
    expected: ['task.placed', 'task.ended']
  },
  {
    title: 'lines that name a step or task of the job belong to it',
    lines: [createLine(50, 'advice.received', { step: 'aa.0.0' }), PLACED],
    expected: ['advice.received', 'task.placed']
  },
  {
    title: 'a lost target of the job is told, one of another job is not',
    lines: [PLACED, createLine(3_000, 'target.lost', { target: 't1' }), createLine(3_100, 'target.lost', { target: 't9' }), ENDED],
    expected: ['task.placed', 'target.lost', 'task.ended']
  },
  {
    title: 'changes of the owner are told around the job only',
    lines: [createLine(-60_000, 'ownership.acquired'), PLACED, createLine(4_000, 'ownership.lost'), ENDED],
    expected: ['task.placed', 'ownership.lost', 'task.ended']
  },
  { title: 'nothing is told of a job that no line names', lines: [createLine(0, 'store.lost')], expected: [] }
]

for (const { title, lines, expected } of cases) {
  test(title, (t) => {
    const story = new JobTimeline('aa')
    for (const line of lines) {
      const record = parseLogLine(line)
      if (record !== undefined) story.add(record)
    }
    t.deepEqual(story.listRecords().map(({ event }) => event), expected)
  })
}

test('a line that holds no record is told apart, also after the output of another program', (t) => {
  t.is(parseLogLine('stopped'), undefined)
  t.is(parseLogLine('{"event":5}'), undefined)
  t.is(parseLogLine(`  3.1 frontend-1 ${PLACED}`)?.event, 'task.placed')
})
