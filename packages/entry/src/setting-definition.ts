import { z } from 'zod'
import { parseHostPort, type HostPort } from './host-port.js'

/** One row of the table of settings. Flags, environment names, checks, `--help` and the page are derived from it. */
export interface SettingDefinition<Value> {
  /** Unit of the value, such as `ms`; empty for names and addresses. */
  readonly unit: string
  /** Text that stands in when the setting is not given; undefined leaves the value out. */
  readonly defaultText: string | undefined
  readonly isRequired: boolean
  /** Accepted values, for people. */
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

// Starting with a letter keeps names apart from numbers, which the argument parser would normalize (007 becomes 7).
const NAME_PATTERN = /^[a-z][a-z0-9.-]{0,62}$/

/** A setting that must be given and is a name: letters, digits, `.` and `-`. */
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

export function createIntegerSetting (texts: IntegerSettingOptions): SettingDefinition<number> {
  const bounds = `${texts.minimum} to ${texts.maximum}`
  return {
    unit: texts.unit,
    defaultText: String(texts.default),
    isRequired: false,
    acceptedValues: bounds,
    description: texts.description,
    schema: z.string()
      .refine((text) => /^[0-9]{1,15}$/.test(text) && Number(text) >= texts.minimum && Number(text) <= texts.maximum,
        `must be a whole number from ${bounds}`)
      .transform(Number)
  }
}

/** A host name or address to listen on. */
export function createHostSetting (texts: Required<SettingOptions>): SettingDefinition<string> {
  return {
    unit: '',
    defaultText: texts.default,
    isRequired: false,
    acceptedValues: 'IP address or host name',
    description: texts.description,
    schema: z.string().regex(/^[^\s/[\]]{1,255}$/, 'must be an IP address or a host name')
  }
}

/** `HOST:PORT`; undefined when it is not given. */
export function createAddressSetting (texts: SettingOptions): SettingDefinition<HostPort | undefined> {
  return {
    unit: '',
    defaultText: undefined,
    isRequired: false,
    acceptedValues: 'HOST:PORT',
    description: texts.description,
    schema: z.string()
      .refine((text) => parseHostPort(text) !== undefined, 'must be HOST:PORT with a port from 1 to 65535')
      .transform(parseHostPort)
  }
}

/** `HOST:PORT` separated by commas; an empty list when it is not given. */
export function createAddressListSetting (texts: SettingOptions): SettingDefinition<readonly HostPort[]> {
  return {
    unit: '',
    defaultText: '',
    isRequired: false,
    acceptedValues: 'HOST:PORT,HOST:PORT...',
    description: texts.description,
    schema: z.string()
      .refine((text) => splitList(text).every((item) => parseHostPort(item) !== undefined),
        'must be a list of HOST:PORT separated by commas')
      .transform((text) => splitList(text).map(parseHostPort).filter((address) => address !== undefined))
  }
}

/** One or more HTTP addresses separated by commas. */
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

/** A path, or `-` for the log; undefined when it is not given. */
export function createPathSetting (texts: SettingOptions): SettingDefinition<string | undefined> {
  return {
    unit: '',
    defaultText: undefined,
    isRequired: false,
    acceptedValues: 'path, or - for the log',
    description: texts.description,
    schema: z.string().min(1, 'must not be empty').max(4096, 'must have at most 4096 characters')
  }
}

export function createChoiceSetting<const Choice extends string> (
  choices: readonly Choice[], texts: Required<SettingOptions>
): SettingDefinition<Choice> {
  return {
    unit: '',
    defaultText: texts.default,
    isRequired: false,
    acceptedValues: choices.join(', '),
    description: texts.description,
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
