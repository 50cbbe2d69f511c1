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

/** Runs the command that the arguments after the program's name give, and returns the exit code. */
export async function runCommandLine (argv: readonly string[], environment: CommandEnvironment): Promise<ExitCode> {
  const commandLine = parseCommandLine(argv)
  if (commandLine.type === 'help') return EXIT_CODES.success
  if (commandLine.type === 'invalid') return printReport(createUsageReport([commandLine.finding]), commandLine.isJson, environment)
  const settings = parseSettings(commandLine.name, commandLine.options, environment.variables)
  const findings = [...commandLine.findings, ...(settings.ok ? [] : settings.val)]
  const isJson = commandLine.options.json !== undefined
  if (!settings.ok || findings.length > 0) return printReport(createUsageReport(findings), isJson, environment)
  const command = createCommand(commandLine.name, commandLine.arguments, settings.val, environment)
  return printReport(await command.execute(), isJson, environment)
}

function createCommand (
  name: CommandName, positionals: readonly string[], settings: CtlSettings, environment: CommandEnvironment
): Command {
  const client = new ApiClient(settings.address, settings.timeoutMs)
  const first = positionals[0] ?? ''
  switch (name) {
    case 'tablesCheck': return new TablesCheckCommand(positionals)
    case 'tablesApply': return new TablesApplyCommand(client, positionals, settings.author, settings.expectedRevision)
    case 'tablesShow': return new TablesShowCommand(client)
    case 'status': return new StatusCommand(client)
    case 'explain': return new ExplainCommand(client, first)
    case 'outcome': return new OutcomeCommand(client, first)
    case 'logsExplain': return new LogsExplainCommand(first, positionals.slice(1), environment)
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
