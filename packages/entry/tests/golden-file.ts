import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

/** Reads a golden file. With `UPDATE_GOLDEN=1` in the environment, writes `actual` to it first. */
export function readGolden (name: string, actual: string): string {
  const path = fileURLToPath(new URL(`../../tests/golden/${name}`, import.meta.url))
  if (process.env['UPDATE_GOLDEN'] === '1') writeFileSync(path, actual)
  return existsSync(path) ? readFileSync(path, 'utf8') : ''
}
