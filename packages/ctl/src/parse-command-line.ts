import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { cac, type CAC } from 'cac'
import { COMMAND_NAMES, type CommandDefinition, type CommandName, COMMANDS, OPTIONS, type OptionName, REQUEST_ID_ARGUMENT } from './command-definitions.js'
import { USAGE_FINDINGS } from './ctl-messages.js'
import { normalizeArguments, VALUE_PREFIX } from './normalize-arguments.js'

const REQUEST_ID_PATTERN = /^[0-9a-f]{1,8}-[0-9a-f]{1,64}$/
const PROGRAM = 'hibiscusledgectl'
const OPTION_NAMES = Object.keys(OPTIONS) as OptionName[]

export type CommandLine =
  /** The help has been printed. */
  | { readonly type: 'help' }
  /** There is no such command, so nothing else can be checked. */
  | { readonly type: 'invalid', readonly finding: Finding, readonly isJson: boolean }
  | ParsedCommand

export interface ParsedCommand {
  readonly type: 'command'
  readonly name: CommandName
  readonly arguments: readonly string[]
  readonly options: CommandOptions
  readonly findings: readonly Finding[]
}

/** Options as text, before their values are checked. */
export type CommandOptions = Partial<Record<OptionName, string>>

/** Parses arguments without the program's name and collects every finding about them. Prints the help when asked for it. */
export function parseCommandLine (texts: readonly string[]): CommandLine {
  const program = createProgram()
  const { args, options } = program.parse(['node', PROGRAM, ...normalizeArguments(texts)], { run: false })
  if (options['help'] === true) return { type: 'help' }
  const isJson = options['json'] === true
  const name = COMMAND_NAMES.find((candidate) => COMMANDS[candidate].name === program.matchedCommandName)
  if (name === undefined) {
    const first = args[0]
    return { type: 'invalid', isJson, finding: first === undefined ? USAGE_FINDINGS.noCommand() : USAGE_FINDINGS.unknownCommand(args.join(' ')) }
  }
  const definition: CommandDefinition = COMMANDS[name]
  const findings: Finding[] = []
  const given = readOptions(options, definition, findings)
  const all = [...args, ...(options['--'] as string[])].map(String)
  checkArguments(all, definition, findings)
  return { type: 'command', name, arguments: all, options: given, findings }
}

function createProgram (): CAC {
  const program = cac(PROGRAM)
  for (const name of COMMAND_NAMES) {
    const definition: CommandDefinition = COMMANDS[name]
    const command = program.command(`${definition.name} ${definition.argumentPlaceholders}`.trim(), definition.description)
    for (const option of definition.options) {
      const { flag, value, description } = OPTIONS[option]
      command.option(`${flag} ${value}`.trim(), description)
    }
  }
  program.help((sections) => sections.map((section) => ({ ...section, body: section.body.replaceAll(/ +$/gm, '') })))
  return program
}

function readOptions (options: Readonly<Record<string, unknown>>, definition: CommandDefinition, findings: Finding[]): CommandOptions {
  const given: CommandOptions = {}
  for (const [key, value] of Object.entries(options)) {
    if (key === '--') continue
    const name = OPTION_NAMES.find((candidate) => candidate === key)
    if (name === undefined || !definition.options.includes(name)) {
      findings.push(USAGE_FINDINGS.unknownOption(formatFlag(key)))
      continue
    }
    const { flag, value: placeholder } = OPTIONS[name]
    if (Array.isArray(value)) findings.push(USAGE_FINDINGS.repeatedOption(flag))
    else if (placeholder === '' && value === true) given[name] = ''
    else if (placeholder === '') findings.push(USAGE_FINDINGS.switchValue(flag))
    else if (typeof value === 'string') given[name] = value.slice(VALUE_PREFIX.length)
    else findings.push(USAGE_FINDINGS.missingValue(flag))
  }
  return given
}

function checkArguments (texts: readonly string[], definition: CommandDefinition, findings: Finding[]): void {
  const { argumentPlaceholders: argumentName, minimumArguments: leastArguments, maximumArguments: greatestArguments } = definition
  if (texts.length < leastArguments) {
    const expected = leastArguments === greatestArguments ? String(leastArguments) : `${leastArguments} to ${greatestArguments}`
    findings.push(USAGE_FINDINGS.missingArguments(argumentName, expected, texts.length))
  }
  for (const text of texts.slice(greatestArguments)) findings.push(USAGE_FINDINGS.extraArgument(text))
  if (argumentName !== REQUEST_ID_ARGUMENT) return
  for (const text of texts.slice(0, greatestArguments)) {
    if (!REQUEST_ID_PATTERN.test(text)) findings.push(USAGE_FINDINGS.invalidRequestId(text))
  }
}

/** cac turns `--dry-run` into `dryRun`. */
function formatFlag (key: string): string {
  const flag = key.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)
  return key.length === 1 ? `-${key}` : `--${flag}`
}
