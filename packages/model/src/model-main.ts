import { writeFileSync } from 'node:fs'
import { parseFlags } from '@hibiscusledge/stand-ins/stand-in-process.js'
import { cac } from 'cac'
import { z } from 'zod'
import { runExperiment, type ExperimentResult } from './experiment.js'
import { formatResults } from './format-results.js'
import { LOAD_PATTERNS, type LoadPattern } from './load-pattern.js'

const NAMES = LOAD_PATTERNS.map(({ name }) => name)

const flagsSchema = z.object({
  pattern: z.union([z.literal('all'), z.enum(NAMES as [string, ...string[]])], `one of: all, ${NAMES.join(', ')}`),
  seed: z.number().int().nonnegative(),
  count: z.number().int().positive(),
  targets: z.number().int().positive(),
  instances: z.number().int().positive(),
  accounts: z.boolean(),
  json: z.string().optional()
})

const command = cac('model')
command.option('--pattern <name>', `Load pattern: all, ${NAMES.join(', ')}`, { default: 'all' })
command.option('--seed <n>', 'First seed', { default: 1 })
command.option('--count <n>', 'Number of seeds', { default: 1 })
command.option('--targets <n>', 'Number of targets', { default: 245 })
command.option('--instances <n>', 'Number of instances, which make the calls to the policy service', { default: 39 })
command.option('--accounts', 'Names the accounts in the configuration, which turns overload control on', { default: false })
command.option('--json <file>', 'Also writes the results to this file, as JSON')
command.help()
const flags = parseFlags(command, flagsSchema)

/** Runs the chosen patterns with all seeds, one after the other. */
async function runAll (patterns: readonly LoadPattern[]): Promise<ExperimentResult[]> {
  const results: ExperimentResult[] = []
  for (const pattern of patterns) {
    for (let seed = flags.seed; seed < flags.seed + flags.count; seed++) {
      results.push(await runExperiment({ pattern, seed, targets: flags.targets, instances: flags.instances, hasAccounts: flags.accounts }))
    }
  }
  return results
}

const results = await runAll(LOAD_PATTERNS.filter(({ name }) => flags.pattern === 'all' || flags.pattern === name))
console.log(formatResults(results))
if (flags.json !== undefined) writeFileSync(flags.json, `${JSON.stringify(results, undefined, 2)}\n`)
