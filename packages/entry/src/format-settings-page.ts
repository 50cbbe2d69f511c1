import { SETTING_NAMES, SETTING_TABLE, formatEnvironmentName, formatFlag } from './setting-table.js'

/** Returns the table of settings in docs/request-path-operations.md, as Markdown. */
export function formatSettingsPage (): string {
  const rows = SETTING_NAMES.map((name) => {
    const { unit, defaultText, isRequired, acceptedValues, description } = SETTING_TABLE[name]
    const defaultLabel = isRequired ? 'required' : defaultText === undefined || defaultText === '' ? 'unset' : defaultText
    return `| \`${formatFlag(name)}\` | \`${formatEnvironmentName(name)}\` | ${unit} | ${defaultLabel} | ${acceptedValues} | ${description} |`
  })
  return ['| flag | environment variable | unit | default | values | meaning |', '|---|---|---|---|---|---|', ...rows].join('\n')
}
