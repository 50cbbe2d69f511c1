import { fileURLToPath } from 'node:url'
import { Cell } from './cell.mjs'

const LIMIT_MS = 115_000
const EXIT_CODES = { held: 0, broken: 1, notRun: 2 }

/** Runs a case. `play` returns the violations as texts; an empty list means that the rule held. */
export async function runCase (url, options, play) {
  const cell = new Cell({ ...options, folder: fileURLToPath(new URL('.', url)) })
  // No process outlives the script, also when that is ended from outside or fails.
  process.on('exit', () => { for (const { child } of cell.instances) child.kill('SIGKILL') })
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => process.exit(EXIT_CODES.notRun))
  process.on('uncaughtException', (error) => {
    console.error(`the case could not run: ${String(error.stack ?? error)}`)
    process.exit(EXIT_CODES.notRun)
  })
  const hasTrouble = process.env.TROUBLE !== '0'
  let code = EXIT_CODES.notRun
  const limit = new Promise((_resolve, reject) => {
    setTimeout(() => reject(new Error('the case took too long')), LIMIT_MS).unref()
  })
  try {
    await Promise.race([limit, (async () => {
      await cell.start()
      cell.record('ready', { hasTrouble })
      const violations = await play(cell, hasTrouble)
      for (const violation of violations) cell.record('violation', { violation })
      cell.record('result', { violations: violations.length, hasTrouble })
      code = violations.length > 0 ? EXIT_CODES.broken : EXIT_CODES.held
      console.log(violations.length > 0 ? `broken: ${violations.length} violations, the first: ${violations[0]}` : 'held')
    })()])
  } catch (error) {
    cell.record('notRun', { error: String(error.stack ?? error) })
    console.error(`the case could not run: ${String(error)}`)
  } finally {
    await cell.stop()
  }
  if (process.env.REVIEW_LOGS !== undefined) {
    const { writeFileSync } = await import('node:fs')
    writeFileSync(process.env.REVIEW_LOGS, cell.readLogs())
  }
  process.exit(code)
}
