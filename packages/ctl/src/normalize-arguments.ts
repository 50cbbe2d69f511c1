import { COMMAND_NAMES, COMMANDS, OPTIONS } from './command-definitions.js'

/**
 * Written before each option value. cac turns values that look like numbers into numbers, so that the author `007`
 * would become `7`; with the prefix they stay text.
 */
export const VALUE_PREFIX = 'text:'

const VALUE_FLAGS: ReadonlySet<string> = new Set(Object.values(OPTIONS).filter(({ value }) => value !== '').map(({ flag }) => flag))
const TWO_WORD_COMMANDS: ReadonlySet<string> = new Set(COMMAND_NAMES.map((name) => COMMANDS[name].name).filter((name) => name.includes(' ')))

/** Rewrites arguments for cac: option values become `--flag=text:value`, and commands of two words become one argument. */
export function normalizeArguments (texts: readonly string[]): string[] {
  const normalized: string[] = []
  const positions: number[] = []
  let index = 0
  for (; index < texts.length && texts[index] !== '--'; index++) {
    const text = texts[index] ?? ''
    if (!text.startsWith('-')) {
      positions.push(normalized.length)
      normalized.push(text)
      continue
    }
    const [flag = '', ...rest] = text.split('=')
    const next = texts[index + 1]
    if (!VALUE_FLAGS.has(flag)) normalized.push(text)
    else if (rest.length > 0) normalized.push(`${flag}=${VALUE_PREFIX}${rest.join('=')}`)
    // A flag in place of the value means that the value was forgotten; `--flag=-value` still gives one with a dash.
    else if (next === undefined || next.startsWith('--')) normalized.push(flag)
    else {
      normalized.push(`${flag}=${VALUE_PREFIX}${next}`)
      index++
    }
  }
  return [...joinCommandWords(normalized, positions), ...texts.slice(index)]
}

function joinCommandWords (texts: readonly string[], positions: readonly number[]): string[] {
  const [first, second] = positions
  if (first === undefined || second === undefined) return [...texts]
  const joined = `${texts[first]} ${texts[second]}`
  if (!TWO_WORD_COMMANDS.has(joined)) return [...texts]
  return texts.flatMap((text, position) => position === second ? [] : [position === first ? joined : text])
}
