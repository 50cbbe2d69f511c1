import type { Finding } from '@hibiscusledge/runtime/finding.js'
import { TIMEOUT_MS } from './ctl-settings.js'

/** Findings about the command line, its settings and its files. */
export const USAGE_FINDINGS = {
  noCommand: (): Finding => ({ code: 'commandMissing', place: 'command', message: 'no command is given; see --help' }),
  unknownCommand: (text: string): Finding =>
    ({ code: 'commandUnknown', place: 'command', message: `${JSON.stringify(text)} is not a command; see --help` }),
  unknownOption: (flag: string): Finding => ({ code: 'optionUnknown', place: flag, message: 'is not an option of this command' }),
  missingValue: (flag: string): Finding => ({ code: 'valueMissing', place: flag, message: 'has no value' }),
  repeatedOption: (flag: string): Finding => ({ code: 'optionRepeated', place: flag, message: 'is given more than once' }),
  switchValue: (flag: string): Finding => ({ code: 'valueUnexpected', place: flag, message: 'takes no value' }),
  missingArguments: (argument: string, expected: string, found: number): Finding =>
    ({ code: 'argumentMissing', place: argument, message: `expected ${expected}, found ${found}` }),
  extraArgument: (text: string): Finding =>
    ({ code: 'argumentUnexpected', place: 'arguments', message: `${JSON.stringify(text)} is one argument too many` }),
  invalidAddress: (place: string, text: string): Finding =>
    ({ code: 'addressInvalid', place, message: `${JSON.stringify(text)} is not host:port with a port from 1 to 65535` }),
  invalidTimeout: (place: string, text: string): Finding => ({
    code: 'timeoutInvalid',
    place,
    message: `${JSON.stringify(text)} is not a whole number of milliseconds from ${TIMEOUT_MS.minimum} to ${TIMEOUT_MS.maximum}`
  }),
  invalidRevision: (place: string, text: string): Finding =>
    ({ code: 'revisionInvalid', place, message: `${JSON.stringify(text)} is not a whole number from 0` }),
  missingAuthor: (place: string): Finding =>
    ({ code: 'authorMissing', place, message: 'no author is given, and neither HIBISCUSLEDGE_AUTHOR nor USER is set' }),
  invalidAuthor: (place: string, maximumLength: number): Finding =>
    ({ code: 'authorInvalid', place, message: `must have 1 to ${maximumLength} characters and no control characters` }),
  invalidRequestId: (text: string): Finding =>
    ({ code: 'requestIdInvalid', place: '<request-id>', message: `${JSON.stringify(text)} is not a request id such as 0a-5f3c` }),
  unreadableFile: (path: string, reason: string): Finding => ({ code: 'fileUnreadable', place: path, message: `can't be read: ${reason}` }),
  notUtf8: (path: string): Finding => ({ code: 'fileEncoding', place: path, message: 'is not UTF-8' }),
  unknownTable: (path: string): Finding =>
    ({ code: 'tableUnknown', place: path, message: 'its header has no column of the routes or the pools table' }),
  repeatedTable: (path: string, table: string, other: string): Finding =>
    ({ code: 'tableRepeated', place: path, message: `is a ${table} table like ${other}; one of each is needed` })
} as const

/** Messages that commands print. */
export const REPORT_TEXTS = {
  accepted: (revision: number, hash: string) => `accepted as revision ${revision} (hash ${hash})`,
  baseRevisionRead: (revision: number) => `current revision ${revision}, read from the instance`,
  noTables: 'the instance has no tables yet, so the change is made from revision 0',
  conflict: 'conflict: the tables were changed by someone else, nothing was applied',
  applyUnknown: (reason: string) => `it is not known whether the change was accepted: ${reason}; read the tables before trying again`,
  notApplied: (reason: string) => `not applied: ${reason}`,
  notReached: (address: string, reason: string) => `can't reach the instance at ${address}: ${reason}`,
  noAnswer: (address: string, reason: string) => `no usable answer from the instance at ${address}: ${reason}`,
  refused: (status: number, detail: string) => `the instance answered with status ${status}: ${detail}`,
  valid: (tables: string, hash: string | undefined) => hash === undefined ? `${tables} valid by themselves` : `${tables} valid (hash ${hash})`,
  linesSkipped: (count: number) => `${count} lines are not log records and were left out`,
  jobNotLogged: (jobId: string) => `no line names job ${jobId}`,
  joinsUnchecked: (missing: string) => `rules across both tables were not checked, as ${missing} was not given`
} as const

/** Reasons for which a response could not be used. */
export const FAILURE_REASONS = {
  timeout: (timeoutMs: number) => `no answer within ${timeoutMs} ms`,
  notJson: (status: number) => `status ${status} with a body that is not JSON`,
  tooLarge: (limitBytes: number) => `a body over ${limitBytes} bytes`,
  unexpected: (status: number) => `status ${status} with a body of another form than documented`
} as const
