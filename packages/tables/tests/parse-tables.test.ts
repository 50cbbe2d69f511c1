import test from 'ava'
import { parseTables } from '../src/parse-tables.js'
import { POOL_COLUMNS, ROUTE_COLUMNS } from '../src/table-columns.js'
import type { TableSources } from '../src/table-set.js'
import {
  buildRouteCells, buildTexts, buildWorkerRouteCells, HEAVY_POOL, type PoolCells, QUICK_POOL, type RouteCells
} from './table-fixtures.js'

const VALID = buildTexts([buildRouteCells(), buildWorkerRouteCells()])

function listFindings (texts: TableSources): readonly string[] {
  const result = parseTables(texts, 1)
  return result.ok ? [] : result.val.map(({ code, place }) => `${place} ${code}`)
}

interface RouteCase { readonly title: string, readonly rows: readonly RouteCells[], readonly expected: readonly string[] }

const ROUTE_CASES: readonly RouteCase[] = [
  { title: 'two valid rows', rows: [buildRouteCells(), buildWorkerRouteCells({ idempotent: 'YES', retryLimit: '3' })], expected: [] },
  {
    title: 'required cells',
    rows: [{ urgency: 'low' }],
    expected: ['routes.csv:2:1 emptyCell', 'routes.csv:2:4 emptyCell']
  },
  {
    title: 'an invalid value in every typed cell',
    rows: [buildRouteCells({
      kind: 'a b',
      customer: '-x',
      team: 'é',
      urgency: 'Urgent',
      cores: '1.2345',
      memoryMb: '1e3',
      accelerators: '65',
      tasks: '0',
      idempotent: '1',
      exclusive: 'ja',
      resumable: 'y',
      service: 'on',
      runtimeMs: '-1',
      deadlineMs: '604800001',
      retryLimit: '11'
    })],
    expected: [
      '1 invalidName', '2 invalidName', '3 invalidName', '5 unknownName', '6 invalidNumber', '7 invalidNumber', '8 outOfBounds',
      '9 outOfBounds', '10 invalidBoolean', '11 invalidBoolean', '12 invalidBoolean', '13 invalidBoolean', '14 invalidNumber',
      '15 outOfBounds', '16 outOfBounds'
    ].map((finding) => `routes.csv:2:${finding}`)
  },
  {
    title: 'duplicates, also with spaces around a cell',
    rows: [buildRouteCells({ customer: 'x' }), buildRouteCells({ customer: ' x ' }), buildRouteCells({ team: 'x' })],
    expected: ['routes.csv:3:1 duplicateRoute']
  },
  { title: 'unknown pool', rows: [buildRouteCells({ pool: 'absent' })], expected: ['routes.csv:2:4 unknownPool'] },
  {
    title: 'executor route with columns that only apply to workers',
    rows: [buildRouteCells({ cores: '1', memoryMb: '1', accelerators: '1', tasks: '2', resumable: 'yes', service: 'yes' })],
    expected: [
      '6 executorResources', '7 executorResources', '8 executorResources', '9 executorGang', '12 executorTask', '13 executorTask'
    ].map((finding) => `routes.csv:2:${finding}`)
  },
  {
    title: 'worker route without cores and memory',
    rows: [buildWorkerRouteCells({ cores: '', memoryMb: '0' })],
    expected: ['routes.csv:2:6 workerResources', 'routes.csv:2:7 workerResources']
  },
  {
    title: 'non-idempotent route with retries',
    rows: [buildRouteCells({ retryLimit: '1' })],
    expected: ['routes.csv:2:16 retriedNonIdempotent']
  },
  {
    title: 'runtimes that contradict the rest of the row',
    rows: [buildWorkerRouteCells({ runtimeMs: '60001' }), buildWorkerRouteCells({ kind: 'daemon', service: 'yes', runtimeMs: '1' })],
    expected: ['routes.csv:2:14 runtimeOverDeadline', 'routes.csv:3:14 serviceRuntime']
  }
]

for (const { title, rows, expected } of ROUTE_CASES) {
  test(`routes: ${title}`, (t) => { t.deepEqual(listFindings(buildTexts(rows)), expected) })
}

interface PoolCase { readonly title: string, readonly cells: PoolCells, readonly expected: readonly string[] }

const POOL_CASES: readonly PoolCase[] = [
  {
    title: 'all cells given, with floors whose sum is greater than 100 in floating point',
    cells: {
      failureDomains: 'a|b',
      racks: 'r1',
      labels: 'disk=ssd|image=team/x:1',
      slots: '8',
      connections: '64',
      floorUrgentPercent: '0.1',
      floorHighPercent: '28.5',
      floorNormalPercent: '35.7',
      floorLowPercent: '35.7',
      limitLowPercent: '50',
      maxQueueMsLow: '0',
      teamQuotas: 'x=0.5|y=100'
    },
    expected: []
  },
  {
    title: 'invalid lists and pairs',
    cells: { failureDomains: 'a||a', racks: 'a b', labels: 'x|=1|y=|z=1|z=2|__proto__=1', teamQuotas: 'x=0|y=101|z=1%' },
    expected: [
      '3 emptyListItem', '3 duplicateListItem', '4 invalidName', '5 invalidPair', '5 invalidName', '5 invalidLabelValue',
      '5 duplicateListItem', '5 invalidName', '20 outOfBounds', '20 outOfBounds', '20 invalidNumber'
    ]
  },
  { title: 'sizes out of bounds', cells: { slots: '0', connections: '100001', maxQueueMsHigh: '1.5' }, expected: ['6 outOfBounds', '7 outOfBounds', '9 invalidNumber'] },
  {
    title: 'percentages out of bounds',
    cells: { floorUrgentPercent: '101', limitHighPercent: '-1', floorLowPercent: '60', limitLowPercent: '50' },
    expected: ['12 outOfBounds', '15 floorOverLimit', '17 invalidNumber']
  },
  {
    title: 'floors over the capacity by a thousandth',
    cells: { floorUrgentPercent: '33.4', floorHighPercent: '33.3', floorNormalPercent: '33.301' },
    expected: ['12 floorsOverCapacity']
  },
  { title: 'unknown kind of target', cells: { targets: 'executors' }, expected: ['2 unknownName'] }
]

for (const { title, cells, expected } of POOL_CASES) {
  test(`pools: ${title}`, (t) => {
    const texts = buildTexts([buildRouteCells()], [{ ...QUICK_POOL, ...cells }])
    t.deepEqual(listFindings(texts), expected.map((finding) => `pools.csv:2:${finding}`))
  })
}

interface TextCase { readonly title: string, readonly texts: Partial<TableSources>, readonly expected: readonly string[] }

const ROUTE_HEADER = ROUTE_COLUMNS.join(',')
const EMPTY_CELLS = ','.repeat(POOL_COLUMNS.length - 2)

const TEXT_CASES: readonly TextCase[] = [
  { title: 'byte order mark, CRLF, comments, blank rows and reordered columns', texts: { routes: `\uFEFF# by hand\r\n${[...ROUTE_COLUMNS].reverse().join(',')}\r\n\r\n,,,,,,,,,,,,quick,,,enquiry\r\n${','.repeat(15)}\r\n` }, expected: [] },
  { title: 'no header', texts: { routes: '\n# only a comment\n', pools: '' }, expected: ['routes.csv:1:1 missingHeader', 'pools.csv:1:1 missingHeader'] },
  { title: 'no rows', texts: { routes: `\n${ROUTE_HEADER}\n` }, expected: ['routes.csv:2:1 noRows'] },
  {
    title: 'unknown, missing and repeated columns, while the other cells are still checked',
    texts: { routes: `${ROUTE_HEADER.replace('pool', 'pol').replace('team', 'kind')}\nenquiry,,,,soon,,,,,,,,,,,\n` },
    expected: [
      'routes.csv:1:3 duplicateColumn', 'routes.csv:1:4 unknownColumn', 'routes.csv:1:17 missingColumn', 'routes.csv:1:17 missingColumn',
      'routes.csv:2:5 unknownName'
    ]
  },
  {
    title: 'row numbers at and after a row with a quoted CRLF',
    texts: { pools: `${POOL_COLUMNS.join(',')}\r\nquick,"exec\r\nutor"${EMPTY_CELLS}\r\n# comment\r\n\r\nheavy,worker-${EMPTY_CELLS}` },
    expected: ['pools.csv:2:2 unknownName', 'pools.csv:6:2 unknownName']
  },
  {
    title: 'rows shorter and longer than the header',
    texts: { routes: `${ROUTE_HEADER}\nenquiry,,,quick\nposting,,,quick${','.repeat(13)}\n` },
    expected: ['routes.csv:2:5 cellCount', 'routes.csv:3:17 cellCount']
  },
  { title: 'an unclosed quote', texts: { routes: `${ROUTE_HEADER}\na,"b\n` }, expected: ['routes.csv:2:2 malformedCsv'] },
  {
    title: 'pools without a column of names: only the missing column is reported, not every pool as unknown',
    texts: { pools: `${POOL_COLUMNS.slice(1).join(',')}\nexecutor${EMPTY_CELLS}\n` },
    expected: ['pools.csv:1:20 missingColumn']
  }
]

for (const { title, texts, expected } of TEXT_CASES) {
  test(`texts: ${title}`, (t) => { t.deepEqual(listFindings({ ...VALID, ...texts }), expected) })
}

test('rules across rows: same name, same selection after defaults, worker slots, class without capacity', (t) => {
  const texts = buildTexts([buildRouteCells({ urgency: 'low' })], [
    { ...QUICK_POOL, failureDomains: 'a|b', limitLowPercent: '0' }, HEAVY_POOL, HEAVY_POOL, { pool: 'other', targets: 'worker', slots: '2' },
    { pool: 'third', targets: 'executor', failureDomains: 'b|a' }
  ])
  t.deepEqual(listFindings(texts), [
    'routes.csv:2:5 classWithoutCapacity', 'pools.csv:4:1 duplicatePool', 'pools.csv:5:2 duplicateSelection', 'pools.csv:5:6 workerSlots',
    'pools.csv:6:2 duplicateSelection'
  ])
})

test('empty cells have the documented defaults, and a team named like an object property has no quota', (t) => {
  const { routes, pools, revision, hash } = parseTables(VALID, 7).unwrap()
  t.like(routes[0], {
    customer: '', team: '', urgency: 'normal', taskCount: 1, isIdempotent: false, isExclusive: false, runtimeMs: undefined, deadlineMs: 60_000, retryLimit: 0
  })
  t.deepEqual(routes[1]?.resources, { cores: 2, memoryMb: 4096, accelerators: 0 })
  t.like(pools[0], { failureDomains: [], slotsPerTarget: undefined })
  t.deepEqual(pools[0]?.classes.urgent, { floorPercent: 0, limitPercent: 100, maxQueueMs: 1_500 })
  t.is(pools[0]?.teamQuotas['constructor'], undefined)
  t.is(parseTables(buildTexts([buildRouteCells({ idempotent: 'true' })]), 1).unwrap().routes[0]?.retryLimit, 2)
  t.is(revision, 7)
  t.regex(hash, /^[0-9a-f]{64}$/)
})

test('messages contain the column, the cell and the bounds', (t) => {
  const result = parseTables(buildTexts([buildRouteCells({ tasks: '0', urgency: 'soon\u0007' })]), 1)
  t.deepEqual(result.val, [
    { code: 'unknownName', place: 'routes.csv:2:5', message: 'urgency "soon\\u0007" is none of urgent, high, normal, low' },
    { code: 'outOfBounds', place: 'routes.csv:2:9', message: 'tasks 0 is not between 1 and 1024' }
  ])
})
