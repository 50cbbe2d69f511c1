#!/usr/bin/env node
import { runCommandLine } from './run-command-line.js'

// A reader such as `head` may close the pipe early. The remaining output is then discarded without an error.
process.stdout.on('error', () => {})

// process.exit could truncate output to a pipe, so only the exit code is set.
process.exitCode = await runCommandLine(process.argv.slice(2), {
  variables: process.env,
  openInput: () => process.stdin,
  writeOutput: (text) => { process.stdout.write(text) },
  writeError: (text) => { process.stderr.write(text) }
})
