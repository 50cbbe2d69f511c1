import { cac } from 'cac'
import { runFaults } from './fault-run.js'

const command = cac('fault-run')
command.option('--seed <n>', 'First seed', { default: 1 })
command.option('--count <n>', 'Number of seeds', { default: 20 })
command.option('--parallel <n>', 'Cells at a time', { default: 3 })
command.help()
const { options } = command.parse()

/** Runs the seeds, several cells at a time, prints one line per seed and returns the number of seeds with violations. */
async function runSeeds (): Promise<number> {
  let nextSeed = Number(options.seed)
  const lastSeed = nextSeed + Number(options.count) - 1
  let failedSeeds = 0
  const runRemainingSeeds = async (): Promise<void> => {
    while (nextSeed <= lastSeed) {
      const seed = nextSeed++
      const { plan, violations, outcomes, logDirectory } = await runFaults(seed)
      if (violations.length > 0) failedSeeds++
      const faults = plan.map(({ kind, atMs, durationMs }) => `${kind}@${atMs}+${durationMs}`).join(' ')
      process.stdout.write(`seed ${seed}: ${violations.length} violations; ${JSON.stringify(outcomes)}; ${faults}; ${logDirectory}\n`)
      for (const { invariant, subject, detail } of violations) process.stdout.write(`  ${invariant}: ${subject}: ${detail}\n`)
    }
  }
  await Promise.all(Array.from({ length: Number(options.parallel) }, runRemainingSeeds))
  return failedSeeds
}

if (options.help !== true) process.exitCode = await runSeeds() === 0 ? 0 : 1
