#!/usr/bin/env node
import { runCommandLine } from './run-command-line.js'

// A reader such as `head` may close the pipe early; the rest of the output is then not wanted.
process.stdout.on('error', () => {})

// The exit code is set instead of calling process.exit, which could cut off output to a pipe.
process.exitCode = await runCommandLine(process.argv.slice(2), {
  variables: process.env,
  openInput: () => process.stdin,
  writeOutput: (text) => { process.stdout.write(text) },
  writeError: (text) => { process.stderr.write(text) }
})
