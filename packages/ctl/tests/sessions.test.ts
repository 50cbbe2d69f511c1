import { execFile } from 'node:child_process'
import { copyFile, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { type ScriptedResponses, FakeInstance } from './fake-instance.js'

/**
 * Each golden file holds one session: every invocation with its output, its errors, its exit code and the requests that
 * the instance received. `UPDATE_GOLDEN=1 npx ava` rewrites the files; review the difference before committing.
 */
const GOLDEN_DIRECTORY = new URL('../../tests/golden/', import.meta.url)
const EXAMPLES_DIRECTORY = new URL('../../../../examples/combined/', import.meta.url)
const PROGRAM_PATH = fileURLToPath(new URL('../src/hibiscusledgectl.js', import.meta.url))

interface Invocation {
  readonly args: readonly string[]
  readonly responses?: ScriptedResponses
  readonly variables?: Readonly<Record<string, string>>
  /** Content of the standard input. */
  readonly input?: string
}

function formatLog (records: readonly object[]): string {
  return records.map((record) => `${JSON.stringify(record)}\n`).join('')
}

const ACCEPTOR_LOG = formatLog([
  { level: 30, time: 1_000, instance: 'entry-1', event: 'process.started' },
  { level: 30, time: 60_000, instance: 'entry-1', jobId: '00000000000000a1', queue: 'posting', status: 200, event: 'caller.requestAnswered' },
  { level: 30, time: 60_001, instance: 'entry-1', jobId: '00000000000000a2', queue: 'posting', status: 200, event: 'caller.requestAnswered' }
]) + 'cut off {"level":30,"ti\n'
const OWNER_LOG = formatLog([
  { level: 30, time: 60_005, instance: 'entry-2', jobId: '00000000000000a1', queue: 'posting', steps: 1, ageMs: 5, event: 'job.adopted' },
  { level: 30, time: 60_020, instance: 'entry-2', step: '00000000000000a1.0.0', asked: 8, permitted: 5, afterMs: 12, event: 'advice.received' },
  { level: 40, time: 60_500, instance: 'entry-2', code: 'timeout', message: 'no answer \u001b[2J', event: 'store.lost' },
  { level: 30, time: 60_700, instance: 'entry-2', task: '00000000000000a1.0.0.0', run: 1, outcome: 'done', event: 'task.ended' },
  { level: 30, time: 60_701, instance: 'entry-2', jobId: '00000000000000a2', queue: 'posting', event: 'job.adopted' },
  { level: 30, time: 90_000, instance: 'entry-2', event: 'process.stopping' }
])

const HASH = 'ab'.repeat(32)
const TABLES = { status: 200, body: { revision: 12, hash: HASH, routes: 'kind,customer\r\nenquiry,x\u001b[2J\r\n', pools: 'pool,targets\nquick,executor\n' } }
const NO_TABLES = { status: 503, body: { code: 'noTables', message: 'no tables have arrived on this instance yet' } }
const ACCEPTED = { status: 200, body: { revision: 13, hash: HASH } }
const CONFLICT = {
  status: 409,
  body: { currentRevision: 14, currentAuthor: 'bakari', currentAppliedAt: '2026-12-04T08:00:00.000Z', expectedRevision: 12, author: 'amina' }
}
const byUrgency = (urgent: number, high: number, normal: number, low: number): object => ({ urgent, high, normal, low })
const STATUS = {
  status: 200,
  body: {
    instance: 'entry-1',
    incarnation: '4f2a',
    failureDomain: 'nairobi-a',
    state: 'serving',
    tableRevision: 12,
    members: [
      { instance: 'entry-1', incarnation: '4f2a', failureDomain: 'nairobi-a', isDraining: false, isConnected: true },
      { instance: 'entry-2', incarnation: '9c01', failureDomain: 'nairobi-b', isDraining: true, isConnected: false }
    ],
    units: [{ unit: 'executor/nairobi-a', owner: 'entry-1', epoch: 3 }, { unit: 'partition/00', owner: 'entry-2', epoch: 17 }],
    loads: [{
      unit: 'executor/nairobi-a',
      pools: [{ pool: 'quick', targetCount: 11, freeShare: 0.125, queued: byUrgency(0, 2, 0, 40), estimatedWaitMs: byUrgency(0, 12.4, 0, 900) }]
    }],
    store: { isAvailable: true, lastAnswerAgeMs: 12.7 }
  }
}
const REQUEST = '/v1/requests/0a-5f3c'
const APPLY = ['tables', 'apply', 'routes.csv', 'pools.csv'] as const

const SESSIONS: Readonly<Record<string, readonly Invocation[]>> = {
  help: [
    { args: ['--help'] }, { args: ['tables', 'check', '--help'] }, { args: ['tables', 'apply', '--help'] }, { args: ['tables', 'show', '--help'] },
    { args: ['status', '-h'] }, { args: ['explain', '--help'] }, { args: ['outcome', '--help'] }
  ],
  'logs-explain': [
    { args: ['logs', 'explain', '00000000000000a1', 'entry-1.log', 'entry-2.log'] },
    { args: ['logs', 'explain', '00000000000000a1', 'entry-2.log', '--json'] },
    { args: ['logs', 'explain', '00000000000000a2'], input: OWNER_LOG },
    { args: ['logs', 'explain', '00000000000000ff', 'entry-1.log'] },
    { args: ['logs', 'explain', '00000000000000a1', 'absent.log', 'entry-1.log'] },
    { args: ['logs', 'explain'] },
    { args: ['logs', 'explain', '--help'] }
  ],
  usage: [
    { args: [] },
    { args: ['tables'] },
    { args: ['tabels', 'check', '--json'] },
    { args: ['status', 'extra', '--address', 'nowhere', '--timeout-ms=0', '--author', 'x', '-v', '--json=maybe'] },
    { args: ['tables', 'apply', 'routes.csv', '--expected-revision', '1e3', '--author', '--json', '--json'], variables: { HIBISCUSLEDGE_ADDRESS: ':80' } },
    { args: ['tables', 'apply', 'routes.csv', 'pools.csv', '--author', '\u0007'] },
    { args: [...APPLY], variables: { USER: '', HIBISCUSLEDGE_TIMEOUT_MS: 'soon' } },
    { args: ['explain', '../status', '--', '0a-5f3c'] },
    { args: ['outcome'] },
    { args: ['outcome', '0A-5f3c'] }
  ],
  'tables-check': [
    { args: ['tables', 'check', 'pools.csv', 'routes.csv'] },
    { args: ['--json', 'tables', 'check', 'routes.csv', 'pools.csv'] },
    { args: ['tables', 'check', 'bad-routes.csv', 'pools.csv'] },
    { args: ['tables', 'check', 'bad-routes.csv', '--json'] },
    { args: ['tables', 'check', 'pools.csv'] },
    { args: ['tables', 'check', 'absent.csv', 'latin-1.csv'] },
    { args: ['tables', 'check', 'notes.csv', 'pools.csv'] },
    { args: ['tables', 'check', 'pools.csv', 'pools.csv'] }
  ],
  'tables-apply': [
    { args: [...APPLY], responses: { 'GET /v1/tables': [TABLES], 'PUT /v1/tables': [ACCEPTED] } },
    { args: [...APPLY, '--author', '007', '--json'], responses: { 'GET /v1/tables': [NO_TABLES], 'PUT /v1/tables': [ACCEPTED] } },
    { args: [...APPLY, '--expected-revision', '12'], responses: { 'PUT /v1/tables': [CONFLICT] } },
    { args: [...APPLY, '--expected-revision=12', '--json'], responses: { 'PUT /v1/tables': [CONFLICT] } },
    { args: ['tables', 'apply', 'pools.csv', 'bad-routes.csv'] },
    {
      args: [...APPLY, '--expected-revision', '12'],
      responses: { 'PUT /v1/tables': [{ status: 400, body: { findings: [{ code: 'unknownPool', place: 'routes.csv:3:4', message: 'pool x is not in pools.csv' }] } }] }
    },
    { args: [...APPLY], responses: { 'GET /v1/tables': [TABLES], 'PUT /v1/tables': [{ status: 504, body: { code: 'editUnknown', message: 'not known', reason: 'the reply of the store was lost' } }] } },
    { args: [...APPLY, '--expected-revision', '12', '--json'], responses: { 'PUT /v1/tables': ['drop'] } },
    { args: [...APPLY, '--expected-revision', '12', '--timeout-ms', '1000'], responses: { 'PUT /v1/tables': ['hang'] } },
    { args: [...APPLY, '--expected-revision', '12'], responses: { 'PUT /v1/tables': [{ status: 503, body: { code: 'notApplied', message: 'the store is down' } }] } },
    { args: [...APPLY, '--expected-revision', '12'], responses: { 'PUT /v1/tables': [{ status: 413, body: { code: 'bodyTooLarge', message: 'the body is over the limit' } }] } },
    { args: [...APPLY, '--expected-revision', '12'], responses: { 'PUT /v1/tables': [{ status: 502, text: '<html>' }] } },
    { args: [...APPLY, '--expected-revision', '12'], responses: { 'PUT /v1/tables': [{ status: 503, body: { message: 'upstream reset' } }] } },
    { args: [...APPLY], responses: { 'GET /v1/tables': ['drop'] } },
    { args: [...APPLY, '--address', '127.0.0.1:1'] }
  ],
  'show-and-status': [
    { args: ['tables', 'show'], responses: { 'GET /v1/tables': [TABLES] } },
    { args: ['tables', 'show', '--json'], responses: { 'GET /v1/tables': [TABLES] } },
    { args: ['tables', 'show'], responses: { 'GET /v1/tables': [NO_TABLES] } },
    { args: ['status'], responses: { 'GET /v1/status': [STATUS] } },
    { args: ['status', '--json'], responses: { 'GET /v1/status': [{ status: 200, body: { ...STATUS.body, addedLater: 1, members: [], units: [], loads: [] } }] } },
    { args: ['status'], responses: { 'GET /v1/status': [{ status: 200, body: { instance: 'entry-1' } }] } },
    { args: ['status', '--timeout-ms', '1000', '--json'], responses: { 'GET /v1/status': ['hang'] } },
    { args: ['status', '--address', '127.0.0.1:1'] }
  ],
  requests: [
    { args: ['outcome', '0a-5f3c'], responses: { [`GET ${REQUEST}`]: [{ status: 200, body: { requestId: '0a-5f3c', outcome: 'completed', result: { balance: 7 } } }] } },
    { args: ['outcome', '0a-5f3c'], responses: { [`GET ${REQUEST}`]: [{ status: 200, body: { requestId: '0a-5f3c', outcome: 'notRun', reason: 'queue full', retryAfterMs: 900 } }] } },
    { args: ['outcome', '0a-5f3c', '--json'], responses: { [`GET ${REQUEST}`]: [{ status: 200, body: { requestId: '0a-5f3c', outcome: 'pending' } }] } },
    { args: ['outcome', '0a-5f3c'], responses: { [`GET ${REQUEST}`]: [{ status: 200, body: { requestId: '0a-5f3c', outcome: 'unknown', reason: 'no answer from the target' } }] } },
    { args: ['outcome', '0a-5f3c'], responses: { [`GET ${REQUEST}`]: [{ status: 404, body: { code: 'requestAbsent', message: 'no instance knows this request' } }] } },
    { args: ['outcome', '0a-5f3c', '--json'], responses: { [`GET ${REQUEST}`]: [{ status: 503, body: { code: 'homeUnavailable', message: 'the home can\'t be asked now', reason: 'no link' } }] } },
    { args: ['explain', '0a-5f3c'], responses: { [`GET ${REQUEST}/explanation`]: [{ status: 200, body: { requestId: '0a-5f3c', pool: 'quick', urgency: 'low', position: 3, estimatedWaitMs: 812.6, reason: 'class low is at its limit' } }] } },
    { args: ['explain', '0a-5f3c'], responses: { [`GET ${REQUEST}/explanation`]: [{ status: 404, body: { code: 'notWaiting', message: 'the request does not wait in a queue' } }] } }
  ]
}

async function createFiles (): Promise<string> {
  const directory = await mkdtemp(join(tmpdir(), 'hibiscusledgectl-'))
  for (const name of ['routes.csv', 'pools.csv']) await copyFile(new URL(name, EXAMPLES_DIRECTORY), join(directory, name))
  const routes = await readFile(new URL('routes.csv', EXAMPLES_DIRECTORY), 'utf8')
  await writeFile(join(directory, 'bad-routes.csv'), routes.replace('urgent', 'soon').replace('harambee-workers', 'absent').replace('30000,0', '30000,1'))
  await writeFile(join(directory, 'latin-1.csv'), Buffer.from('kind,customer\ncaf\xe9,\n', 'latin1'))
  await writeFile(join(directory, 'notes.csv'), 'date,note\n')
  await writeFile(join(directory, 'entry-1.log'), ACCEPTOR_LOG)
  // A file whose lines another program has prefixed, as `journalctl` does.
  await writeFile(join(directory, 'entry-2.log'), OWNER_LOG.replaceAll(/^/gm, 'entry-2 ').replace(/entry-2 $/, ''))
  return directory
}

async function runInvocation (
  { args, responses, variables, input }: Invocation, instance: FakeInstance, directory: string
): Promise<string> {
  instance.setResponses(responses ?? {})
  const env = { USER: 'amina', HIBISCUSLEDGE_ADDRESS: instance.address, ...variables }
  const { output, errors, code } = await new Promise<{ output: string, errors: string, code: number }>((resolve) => {
    const child = execFile(process.execPath, [PROGRAM_PATH, ...args], {
      cwd: directory, env, timeout: 30_000
    }, (_error, output, errors) => {
      resolve({ output, errors, code: child.exitCode ?? -1 })
    })
    child.stdin?.end(input ?? '')
  })
  const lines = [
    `$ ${['hibiscusledgectl', ...args.map((text) => /^[\w./:=-]+$/.test(text) ? text : JSON.stringify(text))].join(' ')}`,
    ...(variables === undefined ? [] : [`[with] ${JSON.stringify(variables)}`]),
    ...instance.takeCalls().map((call) => `[call] ${call}`),
    ...errors.split('\n').slice(0, -1).map((line) => `[error] ${line}`)
  ]
  return `${lines.join('\n')}\n${output}[exit] ${code}\n`.replaceAll(instance.address, 'ADDRESS')
}

for (const [name, invocations] of Object.entries(SESSIONS)) {
  test(`session ${name}`, async (t) => {
    t.timeout(120_000)
    const instance = await FakeInstance.start()
    const directory = await createFiles()
    t.teardown(async () => {
      await instance.stop()
      await rm(directory, { recursive: true })
    })
    const parts: string[] = []
    for (const invocation of invocations) parts.push(await runInvocation(invocation, instance, directory))
    const session = parts.join('\n')
    const golden = new URL(`${name}.txt`, GOLDEN_DIRECTORY)
    if (process.env['UPDATE_GOLDEN'] === '1') await writeFile(golden, session)
    t.is(session, await readFile(golden, 'utf8'))
  })
}
