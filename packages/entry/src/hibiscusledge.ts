#!/usr/bin/env node
import { formatFindings } from '@hibiscusledge/runtime/finding.js'
import { composeInstance } from './compose-instance.js'
import { createProcess } from './create-process.js'
import { createTelemetry } from './create-telemetry.js'
import { EXIT_CODES } from './exit-codes.js'
import { parseSettings } from './parse-settings.js'
import { SETTINGS_VALID_MESSAGE } from './setting-messages.js'
import type { Settings } from './setting-table.js'

async function runInstance (settings: Settings): Promise<void> {
  const telemetry = createTelemetry(settings)
  const instance = createProcess(settings, telemetry, composeInstance(settings, telemetry), (code) => process.exit(code))
  process.on('uncaughtException', (error) => instance.onUncaughtError('uncaughtException', error))
  process.on('unhandledRejection', (reason) => instance.onUncaughtError('unhandledRejection', reason))
  process.on('SIGTERM', () => { instance.onTerminate() })
  process.on('SIGINT', () => { instance.onTerminate() })
  await instance.start()
}

const parsed = parseSettings(process.argv.slice(2), process.env)
if (parsed.err) {
  process.stderr.write(`${formatFindings(parsed.val)}\n`)
  process.exitCode = EXIT_CODES.settingsInvalid
} else if (parsed.val.type === 'run') {
  await runInstance(parsed.val.settings)
} else {
  process.stdout.write(`${parsed.val.type === 'help' ? parsed.val.text : SETTINGS_VALID_MESSAGE}\n`)
}
