import { readFile } from 'node:fs/promises'
import { toFailureDomain, toTargetId } from '@hibiscusledge/runtime/identifiers.js'
import { NO_RESOURCES } from '@hibiscusledge/scheduling/resources.js'
import type { Target } from '@hibiscusledge/scheduling/target.js'
import test from 'ava'
import { checkTargets } from '../src/check-targets.js'
import { findRoute } from '../src/find-route.js'
import { listUnusedPools } from '../src/list-unused-pools.js'
import { parseTables } from '../src/parse-tables.js'
import type { TableSet } from '../src/table-set.js'

async function loadExample (name: string): Promise<TableSet> {
  const [routes = '', pools = ''] = await Promise.all(['routes', 'pools'].map(async (table) => {
    return await readFile(new URL(`../../../../examples/${name}/${table}.csv`, import.meta.url), 'utf8')
  }))
  return parseTables({ routes, pools }, 1).expect(name)
}

/** Builds `count` targets for each pool, of the sizes in use, spread over the pool's failure domains. */
function buildTargets ({ pools }: TableSet, count: number): Target[] {
  return pools.flatMap((pool) => Array.from({ length: count }, (_, index): Target => ({
    id: toTargetId(`${pool.name}-${index}`),
    kind: pool.targetKind,
    address: `127.0.0.1:${index + 1}`,
    state: 'live',
    failureDomain: pool.failureDomains[index % pool.failureDomains.length] ?? toFailureDomain(''),
    rack: `r${index}`,
    labels: {},
    capacity: pool.targetKind === 'worker' ? { cores: 16, memoryMb: 65_536, accelerators: 0 } : NO_RESOURCES,
    slots: 8,
    connections: 64
  })))
}

const TARGETS_PER_POOL = { harambee: 33, descanso: 32, combined: 32 } as const

for (const [name, count] of Object.entries(TARGETS_PER_POOL)) {
  test(`the ${name} tables are accepted and fit the targets in use`, async (t) => {
    const tables = await loadExample(name)
    t.deepEqual([...listUnusedPools(tables), ...checkTargets(tables, buildTargets(tables, count))], [])
  })

  test(`each gang of the ${name} tables fits into one failure domain within the limit of its class`, async (t) => {
    const tables = await loadExample(name)
    for (const route of tables.routes.filter(({ taskCount }) => taskCount > 1)) {
      const pool = tables.pools.find((candidate) => candidate.name === route.pool)
      const cores = 16 * Math.floor(count / (pool?.failureDomains.length ?? 0))
      t.true(route.taskCount * route.resources.cores <= cores * (pool?.classes[route.urgency].limitPercent ?? 0) / 100, route.kind)
    }
  })
}

test('the combined tables consist of the rows of both customers', async (t) => {
  const [harambee, descanso, combined] = await Promise.all([loadExample('harambee'), loadExample('descanso'), loadExample('combined')])
  t.deepEqual(combined.routes, [...harambee.routes, ...descanso.routes])
  t.deepEqual(combined.pools, [...harambee.pools, ...descanso.pools])
  t.like(findRoute(combined, 'deep-sanitation', 'descanso', 'night'), { pool: 'descanso-workers', isExclusive: true, isIdempotent: false })
  t.is(findRoute(combined, 'deep-sanitation', 'harambee', ''), undefined)
})
