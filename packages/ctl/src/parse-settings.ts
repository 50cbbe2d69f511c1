import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { COMMANDS, OPTIONS, type CommandName, type OptionName } from './command-definitions.js'
import { type CtlSettings, DEFAULT_ADDRESS, MAX_AUTHOR_LENGTH, TIMEOUT_MS } from './ctl-settings.js'
import { USAGE_FINDINGS } from './ctl-messages.js'
import { parseAddress } from './parse-address.js'
import type { CommandOptions } from './parse-command-line.js'

const WHOLE_NUMBER = /^[0-9]{1,15}$/
const PRINTABLE = /^\P{C}+$/u

type EnvironmentVariables = Readonly<Record<string, string | undefined>>

/** A value with its source: a flag or an environment variable. */
interface SourcedText {
  readonly text: string
  readonly place: string
}

/** Validates the options, and the environment variables that apply where an option is absent. */
export function parseSettings (
  command: CommandName, options: CommandOptions, variables: EnvironmentVariables
): Result<CtlSettings, readonly Finding[]> {
  const findings: Finding[] = []
  const uses = (name: OptionName): boolean => (COMMANDS[command].options as readonly OptionName[]).includes(name)
  const settings: CtlSettings = {
    isJson: options.json !== undefined,
    address: parseAddressSetting(uses('address') ? readOptionText(options, variables, 'address') : undefined, findings),
    timeoutMs: parseTimeout(uses('timeoutMs') ? readOptionText(options, variables, 'timeoutMs') : undefined, findings),
    author: uses('author') ? parseAuthor(readOptionText(options, variables, 'author') ?? readUserVariable(variables), findings) : '',
    expectedRevision: parseRevision(options.expectedRevision, findings)
  }
  return findings.length > 0 ? new Err(findings) : new Ok(settings)
}

/** Returns the option, or else its environment variable, such as HIBISCUSLEDGE_TIMEOUT_MS for --timeout-ms. */
function readOptionText (options: CommandOptions, variables: EnvironmentVariables, name: OptionName): SourcedText | undefined {
  const { flag } = OPTIONS[name]
  const text = options[name]
  if (text !== undefined) return { text, place: flag }
  const variable = `HIBISCUSLEDGE_${flag.slice(2).replaceAll('-', '_').toUpperCase()}`
  const value = variables[variable]
  return value === undefined || value === '' ? undefined : { text: value, place: variable }
}

function readUserVariable (variables: EnvironmentVariables): SourcedText | undefined {
  const text = variables['USER']
  return text === undefined || text === '' ? undefined : { text, place: 'USER' }
}

function parseAddressSetting (source: SourcedText | undefined, findings: Finding[]): CtlSettings['address'] {
  const { text, place } = source ?? { text: DEFAULT_ADDRESS, place: OPTIONS.address.flag }
  const address = parseAddress(text)
  if (address !== undefined) return address
  findings.push(USAGE_FINDINGS.invalidAddress(place, text))
  return { host: '', port: 0 }
}

function parseTimeout (source: SourcedText | undefined, findings: Finding[]): number {
  if (source === undefined) return TIMEOUT_MS.default
  const value = Number(source.text)
  if (!WHOLE_NUMBER.test(source.text) || value < TIMEOUT_MS.minimum || value > TIMEOUT_MS.maximum) {
    findings.push(USAGE_FINDINGS.invalidTimeout(source.place, source.text))
  }
  return value
}

function parseAuthor (source: SourcedText | undefined, findings: Finding[]): string {
  if (source === undefined) {
    findings.push(USAGE_FINDINGS.missingAuthor(OPTIONS.author.flag))
    return ''
  }
  if (!PRINTABLE.test(source.text) || source.text.trim() === '' || source.text.length > MAX_AUTHOR_LENGTH) {
    findings.push(USAGE_FINDINGS.invalidAuthor(source.place, MAX_AUTHOR_LENGTH))
  }
  return source.text
}

function parseRevision (text: string | undefined, findings: Finding[]): number | undefined {
  if (text === undefined) return undefined
  if (!WHOLE_NUMBER.test(text)) findings.push(USAGE_FINDINGS.invalidRevision(OPTIONS.expectedRevision.flag, text))
  return Number(text)
}
