/** Codes and messages of the findings about invalid settings. */
export const SETTING_FINDINGS = {
  missing: { code: 'settingMissing', message: 'must be given' },
  withoutValue: { code: 'settingWithoutValue', message: 'needs a value' },
  repeated: { code: 'settingRepeated', message: 'is given more than once' },
  unknown: { code: 'settingUnknown', message: 'is not a setting; see --help' },
  argument: { code: 'argumentUnexpected', message: 'takes no arguments besides flags' }
} as const

export const SETTING_INVALID_CODE = 'settingInvalid'
export const SETTINGS_VALID_MESSAGE = 'settings are valid'
