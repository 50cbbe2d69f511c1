import { SETTING_NAMES, SETTING_TABLE, formatEnvironmentName, formatFlag } from './setting-table.js'

/** Formats the table of settings for docs/request-path-operations.md. */
export function formatSettingsPage (): string {
  const rows = SETTING_NAMES.map((name) => {
    const { unit, defaultText, isRequired, acceptedValues: bounds, description } = SETTING_TABLE[name]
    const standard = isRequired ? 'required' : defaultText === undefined || defaultText === '' ? 'unset' : defaultText
    return `| \`${formatFlag(name)}\` | \`${formatEnvironmentName(name)}\` | ${unit} | ${standard} | ${bounds} | ${description} |`
  })
  return ['| flag | environment variable | unit | default | values | meaning |', '|---|---|---|---|---|---|', ...rows].join('\n')
}
