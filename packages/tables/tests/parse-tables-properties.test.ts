import test from 'ava'
import fc from 'fast-check'
import { decodeStoredTables } from '../src/decode-stored-tables.js'
import { parseTables } from '../src/parse-tables.js'
import { encodeStoredTables } from '../src/stored-tables.js'
import { POOL_COLUMNS, ROUTE_COLUMNS } from '../src/table-columns.js'
import type { TableSet } from '../src/table-set.js'
import { buildTexts, type PoolCells, type RouteCells } from './table-fixtures.js'

const SEED = 20_261_204

/** Fragments that reach more branches of the parser than random text does. */
const fragment = fc.oneof(
  fc.string({ unit: 'binary', maxLength: 8 }),
  fc.constantFrom(',', '"', '\n', '\r\n', '\r', '#', '|', '=', '\uFEFF', ' ', '1', '0.5', '-1', 'yes', 'executor', 'worker', 'a', '__proto__'),
  fc.constantFrom(...ROUTE_COLUMNS, ...POOL_COLUMNS),
  fc.constantFrom(`${ROUTE_COLUMNS.join(',')}\n`, `${POOL_COLUMNS.join(',')}\n`)
)
const anyText = fc.array(fragment, { maxLength: 60 }).map((pieces) => pieces.join(''))

test('the parser never throws, and every finding has a place in a file', (t) => {
  t.notThrows(() => {
    fc.assert(fc.property(anyText, anyText, (routes, pools) => {
      const result = parseTables({ routes, pools }, 1)
      return result.ok || (result.val.length > 0 && result.val.every(({ place }) => /^(routes|pools)\.csv:[1-9]\d*:[1-9]\d*$/.test(place)))
    }), { seed: SEED, numRuns: 3_000 })
    fc.assert(fc.property(anyText, (value) => { decodeStoredTables(value, 1) }), { seed: SEED, numRuns: 500 })
  })
})

/** Generates one of the given cells. Most are valid, so that many of the generated tables are accepted. */
function chooseCell (...choices: readonly string[]): fc.Arbitrary<string> {
  return fc.constantFrom(...choices)
}

const routeCells: fc.Arbitrary<RouteCells> = fc.record({
  kind: fc.stringMatching(/^[a-z][a-z0-9._-]{0,9}$/),
  customer: chooseCell('', 'harambee', 'descanso'),
  team: chooseCell('', 'x'),
  pool: chooseCell('heavy'),
  urgency: chooseCell('', 'urgent', 'high', 'normal', 'low'),
  cores: chooseCell('0.25', '1', '16'),
  memoryMb: chooseCell('512', '65536'),
  accelerators: chooseCell('', '0', '2'),
  tasks: chooseCell('', '1', '8'),
  idempotent: chooseCell('', 'yes', 'TRUE', 'no'),
  exclusive: chooseCell('', 'yes', 'False'),
  resumable: chooseCell('', 'true'),
  service: chooseCell('', 'no'),
  runtimeMs: chooseCell('', '1', '60000'),
  deadlineMs: chooseCell('', '60000', '604800000'),
  retryLimit: chooseCell('', '0')
})
const poolCells: fc.Arbitrary<PoolCells> = fc.record({
  failureDomains: chooseCell('', 'a', 'b|a'),
  racks: chooseCell('', 'r-1|r-2'),
  labels: chooseCell('', 'disk=ssd|constructor=x'),
  connections: chooseCell('', '64'),
  floorLowPercent: chooseCell('', '0', '10', '33.333'),
  limitLowPercent: chooseCell('', '50'),
  maxQueueMsHigh: chooseCell('', '5'),
  teamQuotas: chooseCell('', 'x=12.5|y=100')
})

/** Formats accepted tables as CSV with explicit defaults. */
function formatTables ({ routes, pools }: TableSet): ReturnType<typeof buildTexts> {
  const formatPairs = (pairs: object): string => Object.entries(pairs).map(([name, value]) => `${name}=${String(value)}`).join('|')
  return buildTexts(routes.map((route) => ({
    kind: route.kind,
    customer: route.customer,
    team: route.team,
    pool: route.pool,
    urgency: route.urgency,
    cores: String(route.resources.cores),
    memoryMb: String(route.resources.memoryMb),
    accelerators: String(route.resources.accelerators),
    tasks: String(route.taskCount),
    idempotent: String(route.isIdempotent),
    exclusive: String(route.isExclusive),
    resumable: String(route.isResumable),
    service: String(route.isService),
    runtimeMs: String(route.runtimeMs ?? ''),
    deadlineMs: String(route.deadlineMs),
    retryLimit: String(route.retryLimit)
  })), pools.map((pool) => ({
    pool: pool.name,
    targets: pool.targetKind,
    failureDomains: pool.failureDomains.join('|'),
    racks: pool.racks.join('|'),
    labels: formatPairs(pool.labels),
    slots: String(pool.slotsPerTarget ?? ''),
    connections: String(pool.connectionsPerTarget ?? ''),
    maxQueueMsUrgent: String(pool.classes.urgent.maxQueueMs),
    maxQueueMsHigh: String(pool.classes.high.maxQueueMs),
    maxQueueMsNormal: String(pool.classes.normal.maxQueueMs),
    maxQueueMsLow: String(pool.classes.low.maxQueueMs),
    floorLowPercent: String(pool.classes.low.floorPercent),
    limitLowPercent: String(pool.classes.low.limitPercent),
    teamQuotas: formatPairs(pool.teamQuotas)
  })))
}

test('accepted tables are unchanged after formatting with explicit defaults, and after storing', (t) => {
  let acceptedCount = 0
  const rows = fc.uniqueArray(routeCells, { minLength: 1, maxLength: 5, selector: ({ kind }) => kind })
  t.notThrows(() => {
    fc.assert(fc.property(rows, poolCells, (routes, pool) => {
      const texts = buildTexts(routes, [{ pool: 'heavy', targets: 'worker', ...pool }])
      const tables = parseTables(texts, 5)
      if (!tables.ok) return
      acceptedCount++
      const rewritten = parseTables(formatTables(tables.val), 5).unwrap()
      t.deepEqual([rewritten.routes, rewritten.pools], [tables.val.routes, tables.val.pools])
      const value = encodeStoredTables({ ...texts, nonce: '00', author: 'a', appliedAt: '2026-12-04T00:00:00.000Z' })
      t.deepEqual(decodeStoredTables(value, 5).unwrap(), tables.val)
    }), { seed: SEED, numRuns: 500 })
  })
  t.true(acceptedCount > 250, `only ${acceptedCount} of 500 tables were accepted, too few to show anything`)
})
