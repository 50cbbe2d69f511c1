import { cac } from 'cac'
import { runFaults } from './fault-run.js'

const command = cac('fault-run')
command.option('--seed <n>', 'First seed', { default: 1 })
command.option('--count <n>', 'Number of seeds', { default: 20 })
command.option('--parallel <n>', 'Cells at a time', { default: 3 })
command.help()
const { options } = command.parse()

/** Runs seeds one after the other in each of several lanes and prints one line a seed. */
async function runSeeds (): Promise<number> {
  let next = Number(options.seed)
  const last = next + Number(options.count) - 1
  let failures = 0
  const runLane = async (): Promise<void> => {
    while (next <= last) {
      const seed = next++
      const { plan, violations, outcomes, logDirectory } = await runFaults(seed)
      if (violations.length > 0) failures++
      const faults = plan.map(({ kind, atMs, durationMs }) => `${kind}@${atMs}+${durationMs}`).join(' ')
      process.stdout.write(`seed ${seed}: ${violations.length} violations; ${JSON.stringify(outcomes)}; ${faults}; ${logDirectory}\n`)
      for (const { invariant, subject, detail } of violations) process.stdout.write(`  ${invariant}: ${subject}: ${detail}\n`)
    }
  }
  await Promise.all(Array.from({ length: Number(options.parallel) }, runLane))
  return failures
}

if (options.help !== true) process.exitCode = await runSeeds() === 0 ? 0 : 1
