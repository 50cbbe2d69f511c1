import { z } from 'zod'
import { parseHostPort, type HostPort } from './host-port.js'

/** Definition of one setting. Its flag, environment variable, validation, `--help` text and row on the settings page derive from it. */
export interface SettingDefinition<Value> {
  /** Unit of the value, such as `ms`; empty for names and addresses. */
  readonly unit: string
  /** Raw value when the setting is not given; with undefined, the value is undefined. */
  readonly defaultText: string | undefined
  readonly isRequired: boolean
  /** Accepted values, as shown in `--help` and on the settings page. */
  readonly acceptedValues: string
  readonly description: string
  readonly schema: z.ZodType<Value, string>
}

interface SettingOptions {
  readonly default?: string
  readonly description: string
}

interface IntegerSettingOptions {
  readonly unit: string
  readonly default: number
  readonly minimum: number
  readonly maximum: number
  readonly description: string
}

// A name must start with a letter, because the argument parser would normalize numbers (007 becomes 7).
const NAME_PATTERN = /^[a-z][a-z0-9.-]{0,62}$/

/** Returns a required setting with a name as its value. */
export function createNameSetting (description: string): SettingDefinition<string> {
  return {
    unit: '',
    defaultText: undefined,
    isRequired: true,
    acceptedValues: '1 to 63 of a-z, 0-9, "." and "-", starting with a letter',
    description,
    schema: z.string().regex(NAME_PATTERN, 'must be 1 to 63 of a-z, 0-9, "." and "-", starting with a letter')
  }
}

export function createIntegerSetting (options: IntegerSettingOptions): SettingDefinition<number> {
  const bounds = `${options.minimum} to ${options.maximum}`
  return {
    unit: options.unit,
    defaultText: String(options.default),
    isRequired: false,
    acceptedValues: bounds,
    description: options.description,
    schema: z.string()
      .refine((text) => /^[0-9]{1,15}$/.test(text) && Number(text) >= options.minimum && Number(text) <= options.maximum,
        `must be a whole number from ${bounds}`)
      .transform(Number)
  }
}

/** Returns a setting with a host name or IP address to listen on as its value. */
export function createHostSetting (options: Required<SettingOptions>): SettingDefinition<string> {
  return {
    unit: '',
    defaultText: options.default,
    isRequired: false,
    acceptedValues: 'IP address or host name',
    description: options.description,
    schema: z.string().regex(/^[^\s/[\]]{1,255}$/, 'must be an IP address or a host name')
  }
}

/** Returns a setting with `HOST:PORT` as its value; undefined when not given. */
export function createAddressSetting (options: SettingOptions): SettingDefinition<HostPort | undefined> {
  return {
    unit: '',
    defaultText: undefined,
    isRequired: false,
    acceptedValues: 'HOST:PORT',
    description: options.description,
    schema: z.string()
      .refine((text) => parseHostPort(text) !== undefined, 'must be HOST:PORT with a port from 1 to 65535')
      .transform(parseHostPort)
  }
}

/** Returns a setting with a comma-separated list of `HOST:PORT` as its value; an empty list when not given. */
export function createAddressListSetting (options: SettingOptions): SettingDefinition<readonly HostPort[]> {
  return {
    unit: '',
    defaultText: '',
    isRequired: false,
    acceptedValues: 'HOST:PORT,HOST:PORT...',
    description: options.description,
    schema: z.string()
      .refine((text) => splitList(text).every((item) => parseHostPort(item) !== undefined),
        'must be a list of HOST:PORT separated by commas')
      .transform((text) => splitList(text).map(parseHostPort).filter((address) => address !== undefined))
  }
}

/** Returns a required setting with a comma-separated list of HTTP URLs as its value. */
export function createUrlListSetting (description: string): SettingDefinition<readonly string[]> {
  return {
    unit: '',
    defaultText: undefined,
    isRequired: true,
    acceptedValues: 'http://HOST:PORT,... or https://HOST:PORT,...',
    description,
    schema: z.string()
      .refine((text) => splitList(text).length > 0 && splitList(text).every(isHttpUrl), 'must be a list of http or https URLs separated by commas')
      .transform(splitList)
  }
}

export function createUrlSetting (description: string): SettingDefinition<string> {
  return {
    unit: '',
    defaultText: undefined,
    isRequired: true,
    acceptedValues: 'http or https URL',
    description,
    schema: z.string().refine(isHttpUrl, 'must be an http or https URL')
  }
}

/** Returns a setting with a path, or `-` for the log, as its value; undefined when not given. */
export function createPathSetting (options: SettingOptions): SettingDefinition<string | undefined> {
  return {
    unit: '',
    defaultText: undefined,
    isRequired: false,
    acceptedValues: 'path, or - for the log',
    description: options.description,
    schema: z.string().min(1, 'must not be empty').max(4096, 'must have at most 4096 characters')
  }
}

export function createChoiceSetting<const Choice extends string> (
  choices: readonly Choice[], options: Required<SettingOptions>
): SettingDefinition<Choice> {
  return {
    unit: '',
    defaultText: options.default,
    isRequired: false,
    acceptedValues: choices.join(', '),
    description: options.description,
    schema: z.enum(choices, `must be one of ${choices.join(', ')}`) as unknown as z.ZodType<Choice, string>
  }
}

function splitList (text: string): string[] {
  return text.split(',').map((item) => item.trim()).filter((item) => item !== '')
}

function isHttpUrl (text: string): boolean {
  if (!URL.canParse(text)) return false
  const { protocol } = new URL(text)
  return protocol === 'http:' || protocol === 'https:'
}
