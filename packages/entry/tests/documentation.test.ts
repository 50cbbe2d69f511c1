import test from 'ava'
import { readFileSync } from 'node:fs'
import { API_ERRORS, API_FINDINGS } from '../src/api-messages.js'
import { formatSettingsPage } from '../src/format-settings-page.js'
import { LOG_EVENTS } from '../src/log-events.js'
import { API_METRICS } from '../src/metric-names.js'
import { SETTING_FINDINGS } from '../src/setting-messages.js'

function readPage (name: string): string {
  return readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), 'utf8')
}

test('docs/request-path-operations.md contains the current table of settings', (t) => {
  t.true(readPage('request-path-operations.md').includes(formatSettingsPage()), 'replace the table with the output of formatSettingsPage')
})

test('docs/ describes every error code, finding, log event and metric', (t) => {
  const api = readPage('api.md')
  const operations = readPage('request-path-operations.md')
  for (const { status, code } of Object.values(API_ERRORS)) t.regex(api, new RegExp(`^\\| ${status} \\|[^|]*\`${code}\``, 'm'))
  for (const { code } of Object.values(API_FINDINGS)) t.true(api.includes(`\`${code}\``), code)
  for (const { code } of Object.values(SETTING_FINDINGS)) t.true(operations.includes(`\`${code}\``), code)
  for (const name of [...Object.values(LOG_EVENTS), ...Object.values(API_METRICS)]) t.true(operations.includes(`\`${name}\``), name)
})
