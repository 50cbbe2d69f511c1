// Prints the entries of KNOWN-RED.txt, which CI passes over.
import { readFileSync } from 'node:fs'

const entries = readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8')
  .split('\n').filter((line) => line.trim() !== '' && !line.startsWith('#'))
console.log(entries.length === 0 ? 'known red: none' : `known red:\n${entries.join('\n')}`)
