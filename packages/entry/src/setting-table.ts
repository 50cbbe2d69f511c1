import {
  createAddressListSetting, createAddressSetting, createChoiceSetting, createHostSetting, createIntegerSetting, createNameSetting,
  createPathSetting, createUrlListSetting, createUrlSetting, type SettingDefinition
} from './setting-definition.js'

export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const

/** Settings of the program `hibiscusledge`, in the order of `--help`. */
export const SETTING_TABLE = {
  instanceId: createNameSetting('Name of this instance, unique on the site.'),
  failureDomain: createNameSetting('Failure domain that this instance runs in.'),
  apiHost: createHostSetting({ default: '0.0.0.0', description: 'Address that the HTTP API listens on.' }),
  apiPort: createIntegerSetting({
    unit: 'TCP port', default: 8080, minimum: 0, maximum: 65_535, description: 'Port of the HTTP API; 0 takes a free one.'
  }),
  peerHost: createHostSetting({ default: '0.0.0.0', description: 'Address that links from other instances arrive on.' }),
  peerPort: createIntegerSetting({
    unit: 'TCP port', default: 8081, minimum: 0, maximum: 65_535, description: 'Port of the peer links; 0 takes a free one.'
  }),
  peerAdvertise: createAddressSetting({ description: 'Address that other instances connect to; by default the one listened on.' }),
  peers: createAddressListSetting({ description: 'Peer addresses to ask first, used when the store is down at start.' }),
  storeEndpoints: createUrlListSetting('Addresses of the key-value store.'),
  instanceListUrl: createUrlSetting('Address of the platform\'s list of live and leaving instances.'),
  storeWritesPerSecond: createIntegerSetting({
    unit: 'calls/s', default: 300, minimum: 1, maximum: 100_000, description: 'Writes that the whole site may make to the store.'
  }),
  storeReadsPerSecond: createIntegerSetting({
    unit: 'calls/s', default: 1_500, minimum: 1, maximum: 100_000, description: 'Reads that the whole site may make to the store.'
  }),
  maxBodyBytes: createIntegerSetting({
    unit: 'bytes', default: 262_144, minimum: 1_024, maximum: 786_432, description: 'Largest body of POST /v1/requests.'
  }),
  defaultWaitMs: createIntegerSetting({
    unit: 'ms', default: 600_000, minimum: 100, maximum: 86_400_000, description: 'How long a caller without a wait parameter is kept waiting.'
  }),
  outcomeRetentionMs: createIntegerSetting({
    unit: 'ms', default: 86_400_000, minimum: 60_000, maximum: 604_800_000, description: 'How long an outcome can be asked for after the end.'
  }),
  drainGraceMs: createIntegerSetting({
    unit: 'ms',
    default: 3_000,
    minimum: 0,
    maximum: 60_000,
    description: 'How long new requests are still accepted after /readyz has turned to 503, so that the balancer notices first.'
  }),
  drainTimeoutMs: createIntegerSetting({
    unit: 'ms', default: 60_000, minimum: 0, maximum: 86_400_000, description: 'How long a planned stop waits for pending callers.'
  }),
  statsd: createAddressSetting({ description: 'StatsD server for metrics over UDP; off when unset.' }),
  traceFile: createPathSetting({ description: 'File for spans, one JSON line each, or - for log events; off when unset.' }),
  logLevel: createChoiceSetting(LOG_LEVELS, { default: 'info', description: 'Least severe log events that are written.' })
} as const satisfies Readonly<Record<string, SettingDefinition<unknown>>>

export type SettingName = keyof typeof SETTING_TABLE

export const SETTING_NAMES = Object.keys(SETTING_TABLE) as SettingName[]

/** Validated settings of one process. */
export type Settings = {
  readonly [Name in SettingName]: (typeof SETTING_TABLE)[Name] extends SettingDefinition<infer Value> ? Value : never
}

/** Converts a setting name to its flag: `apiPort` to `--api-port`. */
export function formatFlag (name: string): string {
  return `--${name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`
}

/** Converts a setting name to its environment variable: `apiPort` to `HIBISCUSLEDGE_API_PORT`. */
export function formatEnvironmentName (name: string): string {
  return `HIBISCUSLEDGE_${formatFlag(name).slice(2).replaceAll('-', '_').toUpperCase()}`
}
