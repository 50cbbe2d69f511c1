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
  const instanceProcess = createProcess(settings, telemetry, composeInstance(settings, telemetry), (code) => process.exit(code))
  process.on('uncaughtException', (error) => instanceProcess.onUncaughtError('uncaughtException', error))
  process.on('unhandledRejection', (reason) => instanceProcess.onUncaughtError('unhandledRejection', reason))
  process.on('SIGTERM', () => { instanceProcess.onTerminate() })
  process.on('SIGINT', () => { instanceProcess.onTerminate() })
  await instanceProcess.start()
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
