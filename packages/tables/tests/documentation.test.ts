import { readFile } from 'node:fs/promises'
import test from 'ava'
import { CLASS_COLUMNS, POOL_COLUMNS, ROUTE_COLUMNS } from '../src/table-columns.js'
import { TABLE_PROBLEMS } from '../src/table-messages.js'

test('docs/tables.md names every column and every finding', async (t) => {
  const page = await readFile(new URL('../../../../docs/tables.md', import.meta.url), 'utf8')
  const byClass = new Set<string>(Object.values(CLASS_COLUMNS).flatMap((columns) => Object.values(columns)))
  const columns = [...ROUTE_COLUMNS, ...POOL_COLUMNS].map((column) => byClass.has(column) ? column.replace(/Urgent|High|Normal|Low/, '<Class>') : column)
  const missing = [...columns, ...Object.keys(TABLE_PROBLEMS)].filter((name) => !page.includes(`\`${name}\``))
  t.deepEqual(missing, [])
})
