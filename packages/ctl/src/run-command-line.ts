import { ApiClient } from './api-client.js'
import type { Command, CommandEnvironment, CommandReport } from './command.js'
import type { CommandName } from './command-definitions.js'
import type { CtlSettings } from './ctl-settings.js'
import { EXIT_CODES, type ExitCode } from './exit-codes.js'
import { ExplainCommand } from './explain-command.js'
import { LogsExplainCommand } from './logs-explain-command.js'
import { OutcomeCommand } from './outcome-command.js'
import { parseCommandLine } from './parse-command-line.js'
import { parseSettings } from './parse-settings.js'
import { createUsageReport } from './reports.js'
import { StatusCommand } from './status-command.js'
import { TablesApplyCommand } from './tables-apply-command.js'
import { TablesCheckCommand } from './tables-check-command.js'
import { TablesShowCommand } from './tables-show-command.js'

/** Runs one invocation with its arguments, without the program's name, and returns the exit code. */
export async function runCommandLine (texts: readonly string[], environment: CommandEnvironment): Promise<ExitCode> {
  const line = parseCommandLine(texts)
  if (line.type === 'help') return EXIT_CODES.success
  if (line.type === 'invalid') return printReport(createUsageReport([line.finding]), line.isJson, environment)
  const settings = parseSettings(line.name, line.options, environment.variables)
  const findings = [...line.findings, ...(settings.ok ? [] : settings.val)]
  const isJson = line.options.json !== undefined
  if (!settings.ok || findings.length > 0) return printReport(createUsageReport(findings), isJson, environment)
  const command = createCommand(line.name, line.arguments, settings.val, environment)
  return printReport(await command.execute(), isJson, environment)
}

function createCommand (name: CommandName, texts: readonly string[], settings: CtlSettings, environment: CommandEnvironment): Command {
  const client = new ApiClient(settings.address, settings.timeoutMs)
  const first = texts[0] ?? ''
  switch (name) {
    case 'tablesCheck': return new TablesCheckCommand(texts)
    case 'tablesApply': return new TablesApplyCommand(client, texts, settings.author, settings.expectedRevision)
    case 'tablesShow': return new TablesShowCommand(client)
    case 'status': return new StatusCommand(client)
    case 'explain': return new ExplainCommand(client, first)
    case 'outcome': return new OutcomeCommand(client, first)
    case 'logsExplain': return new LogsExplainCommand(first, texts.slice(1), environment)
  }
}

function printReport (report: CommandReport, isJson: boolean, environment: CommandEnvironment): ExitCode {
  if (isJson) {
    environment.writeOutput(`${JSON.stringify(report.data, null, 2)}\n`)
    return report.exitCode
  }
  for (const line of report.lines) environment.writeOutput(`${line}\n`)
  for (const line of report.errorLines ?? []) environment.writeError(`${line}\n`)
  return report.exitCode
}
