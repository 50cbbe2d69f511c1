// Reads KNOWN-RED.txt: one entry a line, `test title | command and seed | what was seen | issue`.
import { readFileSync } from 'node:fs'

/** The entries of the file, without comments and blank lines. */
export function readKnownRed () {
  return readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8')
    .split('\n').filter((line) => line.trim() !== '' && !line.startsWith('#'))
}
