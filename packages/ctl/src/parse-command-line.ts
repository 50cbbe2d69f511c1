import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { cac, type CAC } from 'cac'
import { COMMAND_NAMES, type CommandDefinition, type CommandName, COMMANDS, OPTIONS, type OptionName, REQUEST_ID_ARGUMENT } from './command-definitions.js'
import { USAGE_FINDINGS } from './ctl-messages.js'
import { normalizeArguments, VALUE_PREFIX } from './normalize-arguments.js'

const REQUEST_ID_PATTERN = /^[0-9a-f]{1,8}-[0-9a-f]{1,64}$/
const PROGRAM = 'hibiscusledgectl'
const OPTION_NAMES = Object.keys(OPTIONS) as OptionName[]

export type CommandLine =
  /** The help was requested and has been printed. */
  | { readonly type: 'help' }
  /** The command is unknown, so its options and arguments cannot be checked. */
  | { readonly type: 'invalid', readonly finding: Finding, readonly isJson: boolean }
  | ParsedCommand

export interface ParsedCommand {
  readonly type: 'command'
  readonly name: CommandName
  readonly arguments: readonly string[]
  readonly options: CommandOptions
  readonly findings: readonly Finding[]
}

/** The text of each given option, not yet validated. Switches are empty. */
export type CommandOptions = Partial<Record<OptionName, string>>

/** Parses the arguments that follow the program's name and collects all findings about them. Prints the help on request. */
export function parseCommandLine (argv: readonly string[]): CommandLine {
  const program = createProgram()
  const { args, options } = program.parse(['node', PROGRAM, ...normalizeArguments(argv)], { run: false })
  if (options['help'] === true) return { type: 'help' }
  const isJson = options['json'] === true
  const name = COMMAND_NAMES.find((candidate) => COMMANDS[candidate].name === program.matchedCommandName)
  if (name === undefined) {
    const first = args[0]
    return { type: 'invalid', isJson, finding: first === undefined ? USAGE_FINDINGS.noCommand() : USAGE_FINDINGS.unknownCommand(args.join(' ')) }
  }
  const definition: CommandDefinition = COMMANDS[name]
  const findings: Finding[] = []
  const commandOptions = readOptions(options, definition, findings)
  const positionals = [...args, ...(options['--'] as string[])].map(String)
  checkArguments(positionals, definition, findings)
  return { type: 'command', name, arguments: positionals, options: commandOptions, findings }
}

function createProgram (): CAC {
  const program = cac(PROGRAM)
  for (const name of COMMAND_NAMES) {
    const definition: CommandDefinition = COMMANDS[name]
    const command = program.command(`${definition.name} ${definition.argumentPlaceholders}`.trim(), definition.description)
    for (const option of definition.options) {
      const { flag, placeholder, description } = OPTIONS[option]
      command.option(`${flag} ${placeholder}`.trim(), description)
    }
  }
  program.help((sections) => sections.map((section) => ({ ...section, body: section.body.replaceAll(/ +$/gm, '') })))
  return program
}

function readOptions (options: Readonly<Record<string, unknown>>, definition: CommandDefinition, findings: Finding[]): CommandOptions {
  const commandOptions: CommandOptions = {}
  for (const [key, value] of Object.entries(options)) {
    if (key === '--') continue
    const name = OPTION_NAMES.find((candidate) => candidate === key)
    if (name === undefined || !definition.options.includes(name)) {
      findings.push(USAGE_FINDINGS.unknownOption(formatFlag(key)))
      continue
    }
    const { flag, placeholder } = OPTIONS[name]
    if (Array.isArray(value)) findings.push(USAGE_FINDINGS.repeatedOption(flag))
    else if (placeholder === '' && value === true) commandOptions[name] = ''
    else if (placeholder === '') findings.push(USAGE_FINDINGS.switchValue(flag))
    else if (typeof value === 'string') commandOptions[name] = value.slice(VALUE_PREFIX.length)
    else findings.push(USAGE_FINDINGS.missingValue(flag))
  }
  return commandOptions
}

function checkArguments (positionals: readonly string[], definition: CommandDefinition, findings: Finding[]): void {
  const { argumentPlaceholders, minimumArguments, maximumArguments } = definition
  if (positionals.length < minimumArguments) {
    const expected = minimumArguments === maximumArguments ? String(minimumArguments) : `${minimumArguments} to ${maximumArguments}`
    findings.push(USAGE_FINDINGS.missingArguments(argumentPlaceholders, expected, positionals.length))
  }
  for (const text of positionals.slice(maximumArguments)) findings.push(USAGE_FINDINGS.extraArgument(text))
  if (argumentPlaceholders !== REQUEST_ID_ARGUMENT) return
  for (const text of positionals.slice(0, maximumArguments)) {
    if (!REQUEST_ID_PATTERN.test(text)) findings.push(USAGE_FINDINGS.invalidRequestId(text))
  }
}

/** Restores the flag from the key that cac gives it, such as `dryRun` for `--dry-run`. */
function formatFlag (key: string): string {
  const flag = key.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)
  return key.length === 1 ? `-${key}` : `--${flag}`
}
