// Reads KNOWN-RED.txt, the list of tests that are known to fail. One entry per line: `test title | command and seed | observed | issue`.
import { readFileSync } from 'node:fs'

/** Returns the entries of the file, without comments and blank lines. */
export function readKnownRed () {
  return readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8')
    .split('\n').filter((line) => line.trim() !== '' && !line.startsWith('#'))
}
