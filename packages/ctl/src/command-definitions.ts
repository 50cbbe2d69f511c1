import { DEFAULT_ADDRESS, TIMEOUT_MS } from './ctl-settings.js'

/** An option as `--help` shows it. */
export interface OptionDefinition {
  readonly flag: string
  /** Stands for the value in the help, such as `<ms>`. Empty for a switch. */
  readonly placeholder: string
  readonly description: string
}

export const OPTIONS = {
  json: { flag: '--json', placeholder: '', description: 'Print one JSON object instead of text (default: text)' },
  address: {
    flag: '--address',
    placeholder: '<host:port>',
    description: `HTTP API of any instance (default: $HIBISCUSLEDGE_ADDRESS, else ${DEFAULT_ADDRESS})`
  },
  timeoutMs: {
    flag: '--timeout-ms',
    placeholder: '<ms>',
    description: 'Longest wait for each answer of the instance, in milliseconds, ' +
      `${TIMEOUT_MS.minimum} to ${TIMEOUT_MS.maximum} (default: $HIBISCUSLEDGE_TIMEOUT_MS, else ${TIMEOUT_MS.default})`
  },
  author: {
    flag: '--author',
    placeholder: '<name>',
    description: 'Who makes the change, shown to whoever makes a conflicting one (default: $HIBISCUSLEDGE_AUTHOR, else $USER)'
  },
  expectedRevision: {
    flag: '--expected-revision',
    placeholder: '<revision>',
    description: 'Revision that the change was made from, 0 when there are no tables yet (default: the current one, read first)'
  }
} as const satisfies Record<string, OptionDefinition>
export type OptionName = keyof typeof OPTIONS

/** A command as `--help` shows it. */
export interface CommandDefinition {
  readonly name: string
  /** Placeholders of the arguments; the last one may be repeated up to `maximumArguments`. */
  readonly argumentPlaceholders: string
  readonly minimumArguments: number
  readonly maximumArguments: number
  readonly description: string
  readonly options: readonly OptionName[]
}

export const REQUEST_ID_ARGUMENT = '<request-id>'

const MAX_LOG_FILES = 1_000
const CALL_OPTIONS = ['address', 'timeoutMs', 'json'] as const

export const COMMANDS = {
  tablesCheck: {
    name: 'tables check',
    argumentPlaceholders: '<...files>',
    minimumArguments: 1,
    maximumArguments: 2,
    description: 'Check routes.csv, pools.csv or both together; needs no instance',
    options: ['json']
  },
  tablesApply: {
    name: 'tables apply',
    argumentPlaceholders: '<...files>',
    minimumArguments: 2,
    maximumArguments: 2,
    description: 'Put routes.csv and pools.csv into force together',
    options: ['author', 'expectedRevision', ...CALL_OPTIONS]
  },
  tablesShow: {
    name: 'tables show',
    argumentPlaceholders: '',
    minimumArguments: 0,
    maximumArguments: 0,
    description: 'Show the tables in force on the instance',
    options: CALL_OPTIONS
  },
  status: {
    name: 'status',
    argumentPlaceholders: '',
    minimumArguments: 0,
    maximumArguments: 0,
    description: 'Show members, units, loads and the store as the instance sees them',
    options: CALL_OPTIONS
  },
  explain: {
    name: 'explain',
    argumentPlaceholders: REQUEST_ID_ARGUMENT,
    minimumArguments: 1,
    maximumArguments: 1,
    description: 'Show why a request still waits',
    options: CALL_OPTIONS
  },
  outcome: {
    name: 'outcome',
    argumentPlaceholders: REQUEST_ID_ARGUMENT,
    minimumArguments: 1,
    maximumArguments: 1,
    description: 'Show what became of a request',
    options: CALL_OPTIONS
  },
  logsExplain: {
    name: 'logs explain',
    argumentPlaceholders: '<job-id> [...files]',
    minimumArguments: 1,
    maximumArguments: MAX_LOG_FILES + 1,
    description: 'Show what the logs of the instances, from files or the standard input, tell about a job; needs no instance',
    options: ['json']
  }
} as const satisfies Record<string, CommandDefinition>
export type CommandName = keyof typeof COMMANDS
export const COMMAND_NAMES = Object.keys(COMMANDS) as CommandName[]
