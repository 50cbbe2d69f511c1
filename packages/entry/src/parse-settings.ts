import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { cac, type CAC } from 'cac'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import { SETTING_FINDINGS, SETTING_INVALID_CODE } from './setting-messages.js'
import { SETTING_NAMES, SETTING_TABLE, formatEnvironmentName, formatFlag, type SettingName, type Settings } from './setting-table.js'

/** Parsed command line. */
export type CommandLine =
  | { readonly type: 'run', readonly settings: Settings }
  | { readonly type: 'check', readonly settings: Settings }
  | { readonly type: 'help', readonly text: string }

/** Unparsed value of a setting; `place` is its flag or environment variable, as given in findings. */
interface RawSetting {
  readonly text: string
  readonly place: string
}

/** Options in the result of the argument parser that aren't settings; `--` has the arguments after a double dash. */
const COMMAND_FLAGS = ['checkSettings', 'help', 'h', '--']

/** Parses flags and environment variables; a flag overrides the variable of the same setting. Returns all findings at once. */
export function parseSettings (
  argv: readonly string[], environment: Readonly<Record<string, string | undefined>>
): Result<CommandLine, readonly Finding[]> {
  const cli = createCli()
  const { args, options } = cli.parse(['node', 'hibiscusledge', ...argv], { run: false })
  if (options['help'] === true) return Ok({ type: 'help', text: formatHelp(cli) })

  const findings: Finding[] = []
  for (const argument of args) findings.push({ ...SETTING_FINDINGS.argument, place: argument })
  for (const name of Object.keys(options)) {
    if (!COMMAND_FLAGS.includes(name) && !(name in SETTING_TABLE)) findings.push({ ...SETTING_FINDINGS.unknown, place: formatFlag(name) })
  }
  const values: Record<string, unknown> = {}
  for (const name of SETTING_NAMES) values[name] = readSetting(name, options[name], environment, findings)
  if (findings.length > 0) return Err(findings)
  const settings = values as unknown as Settings
  return Ok({ type: options['checkSettings'] === true ? 'check' : 'run', settings })
}

function readSetting (
  name: SettingName, option: unknown, environment: Readonly<Record<string, string | undefined>>, findings: Finding[]
): unknown {
  const definition = SETTING_TABLE[name]
  const place = formatFlag(name)
  if (Array.isArray(option)) {
    findings.push({ ...SETTING_FINDINGS.repeated, place })
    return undefined
  }
  if (typeof option === 'boolean') {
    findings.push({ ...SETTING_FINDINGS.withoutValue, place })
    return undefined
  }
  const rawSetting = findRawSetting(name, option, environment)
  if (rawSetting === undefined) {
    if (definition.isRequired) findings.push({ ...SETTING_FINDINGS.missing, place })
    return undefined
  }
  const parsed = definition.schema.safeParse(rawSetting.text)
  if (parsed.success) return parsed.data
  for (const issue of parsed.error.issues) findings.push({ code: SETTING_INVALID_CODE, place: rawSetting.place, message: issue.message })
  return undefined
}

function findRawSetting (
  name: SettingName, option: unknown, environment: Readonly<Record<string, string | undefined>>
): RawSetting | undefined {
  if (option !== undefined) return { text: String(option), place: formatFlag(name) }
  const variable = formatEnvironmentName(name)
  const text = environment[variable]
  // An empty variable counts as unset, because process managers often can't unset one.
  if (text !== undefined && text !== '') return { text, place: variable }
  const { defaultText } = SETTING_TABLE[name]
  return defaultText === undefined ? undefined : { text: defaultText, place: formatFlag(name) }
}

function createCli (): CAC {
  const cli = cac('hibiscusledge')
  cli.usage('[flags]')
  for (const name of SETTING_NAMES) cli.option(`${formatFlag(name)} <value>`, describeSetting(name))
  cli.option('--check-settings', 'Checks the settings, prints all findings and ends (0 valid, 2 not valid)')
  cli.option('-h, --help', 'Prints this text')
  return cli
}

function describeSetting (name: SettingName): string {
  const { unit, acceptedValues, defaultText, isRequired, description } = SETTING_TABLE[name]
  const defaultLabel = isRequired ? 'required' : defaultText === undefined || defaultText === '' ? 'unset by default' : `default ${defaultText}`
  return `${description} [${unit === '' ? '' : `${unit}, `}${acceptedValues}; ${defaultLabel}]`
}

function formatHelp (cli: CAC): string {
  const options = cli.globalCommand.options.map((option) => ({ flag: option.rawName, description: option.description }))
  const width = Math.max(...options.map(({ flag }) => flag.length))
  return [
    'Usage: hibiscusledge [flags]',
    '',
    'Each flag can also be given as an environment variable: --api-port as HIBISCUSLEDGE_API_PORT.',
    '',
    ...options.map(({ flag, description }) => `  ${flag.padEnd(width)}  ${description}`)
  ].join('\n')
}
