import { COMMAND_NAMES, COMMANDS, OPTIONS } from './command-definitions.js'

/**
 * Prefix added to each option value. cac converts values that look like numbers, which would change the author `007`
 * to `7`; the prefix keeps them text.
 */
export const VALUE_PREFIX = 'text:'

const VALUE_FLAGS: ReadonlySet<string> = new Set(Object.values(OPTIONS).filter(({ placeholder }) => placeholder !== '').map(({ flag }) => flag))
const TWO_WORD_COMMANDS: ReadonlySet<string> = new Set(COMMAND_NAMES.map((name) => COMMANDS[name].name).filter((name) => name.includes(' ')))

/** Rewrites arguments for cac: option values become `--flag=text:value`, and the two words of a command become one argument. */
export function normalizeArguments (argv: readonly string[]): string[] {
  const normalized: string[] = []
  const positionalIndexes: number[] = []
  let index = 0
  for (; index < argv.length && argv[index] !== '--'; index++) {
    const text = argv[index] ?? ''
    if (!text.startsWith('-')) {
      positionalIndexes.push(normalized.length)
      normalized.push(text)
      continue
    }
    const [flag = '', ...rest] = text.split('=')
    const next = argv[index + 1]
    if (!VALUE_FLAGS.has(flag)) normalized.push(text)
    else if (rest.length > 0) normalized.push(`${flag}=${VALUE_PREFIX}${rest.join('=')}`)
    // A flag in place of the value means that the value is missing. A value that begins with a dash is written `--flag=-value`.
    else if (next === undefined || next.startsWith('--')) normalized.push(flag)
    else {
      normalized.push(`${flag}=${VALUE_PREFIX}${next}`)
      index++
    }
  }
  return [...joinCommandWords(normalized, positionalIndexes), ...argv.slice(index)]
}

function joinCommandWords (normalized: readonly string[], positionalIndexes: readonly number[]): string[] {
  const [first, second] = positionalIndexes
  if (first === undefined || second === undefined) return [...normalized]
  const joined = `${normalized[first]} ${normalized[second]}`
  if (!TWO_WORD_COMMANDS.has(joined)) return [...normalized]
  return normalized.flatMap((text, index) => index === second ? [] : [index === first ? joined : text])
}
