import { toFailureDomain, toTargetId } from '@hibiscusledge/runtime/identifiers.js'
import { NO_RESOURCES } from '@hibiscusledge/scheduling/resources.js'
import type { Target } from '@hibiscusledge/scheduling/target.js'
import test from 'ava'
import { checkTargets } from '../src/check-targets.js'
import { decodeStoredTables } from '../src/decode-stored-tables.js'
import { findRoute } from '../src/find-route.js'
import { listUnusedPools } from '../src/list-unused-pools.js'
import { parseTables } from '../src/parse-tables.js'
import { buildRouteCells, buildTexts, buildWorkerRouteCells } from './table-fixtures.js'

test('the most specific route applies, and a separator in a request does not make it match another route', (t) => {
  const rows = [{ customer: 'c', team: 't' }, { customer: 'c' }, { team: 't' }, {}]
  const routes = rows.map((cells, index) => buildRouteCells({ ...cells, deadlineMs: String(index + 1) }))
  const tables = parseTables(buildTexts(routes), 1).unwrap()
  const expected: ReadonlyArray<[customer: string, team: string, row: number]> = [
    ['c', 't', 1], ['c', 'u', 2], ['c', '', 2], ['d', 't', 3], ['d', '', 4], ['', '', 4], ['c|t', '', 4]
  ]
  for (const [customer, team, row] of expected) t.is(findRoute(tables, 'enquiry', customer, team)?.deadlineMs, row, `${customer}/${team}`)
  t.is(findRoute(tables, 'enquiry|c', 't', ''), undefined)
})

test('an unused pool is reported, but the tables are accepted', (t) => {
  const tables = parseTables(buildTexts([buildRouteCells()]), 1).unwrap()
  t.deepEqual(listUnusedPools(tables), [{ code: 'unusedPool', place: 'pools.csv:3:1', message: 'pool heavy is used by no route' }])
})

test('routes and pools that the listed targets cannot serve are reported before work is refused', (t) => {
  const worker: Target = {
    id: toTargetId('w1'),
    kind: 'worker',
    address: '127.0.0.1:1',
    state: 'live',
    failureDomain: toFailureDomain('a'),
    rack: 'r',
    labels: {},
    capacity: { cores: 4, memoryMb: 16_384, accelerators: 0 },
    slots: 0,
    connections: 8
  }
  const executor: Target = { ...worker, id: toTargetId('e1'), kind: 'executor', capacity: NO_RESOURCES, slots: 8 }
  const tables = parseTables(buildTexts([
    buildRouteCells(), buildWorkerRouteCells({ tasks: '2' }), buildWorkerRouteCells({ kind: 'large', cores: '4.5' }),
    buildWorkerRouteCells({ kind: 'gang', tasks: '3' })
  ]), 1).unwrap()
  t.deepEqual(checkTargets(tables, [worker, executor]).map(({ code, place }) => `${place} ${code}`), [
    'routes.csv:4:4 taskOverTargets', 'routes.csv:5:9 gangOverPool'
  ])
  t.deepEqual(checkTargets(tables, [worker]).map(({ code, place }) => `${place} ${code}`).at(-1), 'pools.csv:2:1 emptySelection')
})

test('a malformed stored value is reported as a finding and does not throw', (t) => {
  for (const value of ['', '[]', '{"routes":1}', '{']) {
    const result = decodeStoredTables(value, 3)
    t.like(result.val, [{ code: 'storedValue', place: 'hl/tables' }], value)
  }
})
