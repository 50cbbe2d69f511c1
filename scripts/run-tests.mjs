// Runs ava with the given arguments, except for the tests that KNOWN-RED.txt lists, and prints that list. Without arguments, the tests
// that must not run beside others follow in a step of their own.
import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { readKnownRed } from './known-red.mjs'

const entries = readKnownRed()
const titles = entries.map((entry) => (entry.split('|')[0] ?? '').trim())
const ava = fileURLToPath(new URL('../node_modules/ava/entrypoints/cli.mjs', import.meta.url))

/** Returns the exit code of ava with these arguments. */
function runAva (args) {
  const result = spawnSync(process.execPath, [ava, ...titles.map((title) => `--match=!${title}`), ...args], { stdio: 'inherit' })
  return result.status ?? 1
}

const args = process.argv.slice(2)
const codes = [runAva(args)]
if (args.length === 0) codes.push(runAva(['--config', 'ava-apart.config.js']))
console.log(entries.length === 0 ? 'known red: none' : `known red, passed over:\n${entries.join('\n')}`)
process.exitCode = codes.find((code) => code !== 0) ?? 0
