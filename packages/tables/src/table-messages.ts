import { MAX_NAME_LENGTH } from './table-limits.js'

/** File names of the tables, as shown in the places of findings. */
export const TABLE_FILES = { routes: 'routes.csv', pools: 'pools.csv' } as const
export type TableFile = typeof TABLE_FILES[keyof typeof TABLE_FILES]

/** The code and message of a finding, without its place. */
export interface TableProblem {
  readonly code: string
  readonly message: string
}

const NAME_RULE = `1 to ${MAX_NAME_LENGTH} letters, digits, ".", "_" or "-", starting with a letter or digit`

/** Formats a cell for a message: truncated, with line breaks and control characters escaped. */
function formatCell (text: string): string {
  return JSON.stringify(text.length > 40 ? `${text.slice(0, 40)}…` : text)
}

/** Codes and messages of all findings about the tables. */
export const TABLE_PROBLEMS = {
  malformedCsv: (detail: string) => ({ code: 'malformedCsv', message: `not valid CSV: ${detail}` }),
  missingHeader: () => ({ code: 'missingHeader', message: 'the table has no header row' }),
  noRows: () => ({ code: 'noRows', message: 'the table has a header but no rows' }),
  unknownColumn: (name: string) => ({ code: 'unknownColumn', message: `unknown column ${formatCell(name)}` }),
  duplicateColumn: (name: string) => ({ code: 'duplicateColumn', message: `column ${name} appears more than once` }),
  missingColumn: (name: string) => ({ code: 'missingColumn', message: `column ${name} is missing` }),
  cellCount: (found: number, expected: number) => ({ code: 'cellCount', message: `the row has ${found} cells, the header has ${expected}` }),
  emptyCell: (column: string) => ({ code: 'emptyCell', message: `${column} is empty; it has no default` }),
  invalidName: (column: string, cell: string) => ({ code: 'invalidName', message: `${column} ${formatCell(cell)} is not a name (${NAME_RULE})` }),
  invalidLabelValue: (column: string, cell: string) => ({ code: 'invalidLabelValue', message: `${column} ${formatCell(cell)} is not a label value` }),
  unknownName: (column: string, cell: string, allowed: readonly string[]) =>
    ({ code: 'unknownName', message: `${column} ${formatCell(cell)} is none of ${allowed.join(', ')}` }),
  invalidBoolean: (column: string, cell: string) =>
    ({ code: 'invalidBoolean', message: `${column} ${formatCell(cell)} is none of true, false, yes, no` }),
  invalidNumber: (column: string, cell: string, form: string) =>
    ({ code: 'invalidNumber', message: `${column} ${formatCell(cell)} is not ${form}` }),
  outOfBounds: (column: string, cell: string, minimum: number, maximum: number) =>
    ({ code: 'outOfBounds', message: `${column} ${cell} is not between ${minimum} and ${maximum}` }),
  invalidPair: (column: string, cell: string) => ({ code: 'invalidPair', message: `${column} ${formatCell(cell)} is not name=value` }),
  emptyListItem: (column: string) => ({ code: 'emptyListItem', message: `${column} has an empty item between separators "|"` }),
  duplicateListItem: (column: string, item: string) => ({ code: 'duplicateListItem', message: `${column} names ${item} more than once` }),
  duplicateRoute: (row: number) => ({ code: 'duplicateRoute', message: `kind, customer and team are the same as in row ${row}` }),
  duplicatePool: (name: string, row: number) => ({ code: 'duplicatePool', message: `pool ${name} is already defined in row ${row}` }),
  duplicateSelection: (name: string, row: number) => ({
    code: 'duplicateSelection',
    message: `targets, failureDomains, racks and labels select the same targets as pool ${name} in row ${row}; each pool would count on the whole capacity`
  }),
  unknownPool: (name: string) => ({ code: 'unknownPool', message: `pool ${name} is not in ${TABLE_FILES.pools}` }),
  executorResources: (column: string) =>
    ({ code: 'executorResources', message: `${column} must be empty or 0 for a pool of executors, where each request takes one slot` }),
  executorGang: () => ({ code: 'executorGang', message: 'tasks must be empty or 1 for a pool of executors, which run no gangs' }),
  executorTask: (column: string) => ({ code: 'executorTask', message: `${column} is only possible in a pool of workers` }),
  workerResources: (column: string) => ({ code: 'workerResources', message: `${column} must be over 0 for a pool of workers` }),
  workerSlots: () => ({ code: 'workerSlots', message: 'slots must be empty for a pool of workers, which are divided by cores and memory' }),
  retriedNonIdempotent: () => ({ code: 'retriedNonIdempotent', message: 'retryLimit must be empty or 0 for a non-idempotent route' }),
  serviceRuntime: () => ({ code: 'serviceRuntime', message: 'runtimeMs must be empty for a service, which runs until it is stopped' }),
  runtimeOverDeadline: (runtimeMs: number, deadlineMs: number) =>
    ({ code: 'runtimeOverDeadline', message: `runtimeMs ${runtimeMs} is over deadlineMs ${deadlineMs}; every request would be late` }),
  classWithoutCapacity: (urgency: string, pool: string) =>
    ({ code: 'classWithoutCapacity', message: `urgency ${urgency} has a limit of 0 % in pool ${pool}, so no request of this route could run` }),
  floorOverLimit: (urgency: string, floor: number, limit: number) =>
    ({ code: 'floorOverLimit', message: `the floor of class ${urgency} (${floor} %) is above its limit (${limit} %)` }),
  floorsOverCapacity: (sum: number) => ({ code: 'floorsOverCapacity', message: `the floors of the four classes add up to ${sum} %, over 100 %` }),
  emptySelection: (pool: string) => ({ code: 'emptySelection', message: `pool ${pool} selects none of the listed targets` }),
  taskOverTargets: (pool: string, detail: string) =>
    ({ code: 'taskOverTargets', message: `no listed target of pool ${pool} is large enough for one task (${detail})` }),
  gangOverPool: (pool: string, tasks: number, fittingTasks: number) =>
    ({ code: 'gangOverPool', message: `the listed targets of pool ${pool} have places for ${fittingTasks} tasks at once, the gang has ${tasks}` }),
  unusedPool: (pool: string) => ({ code: 'unusedPool', message: `pool ${pool} is used by no route` }),
  invalidAuthor: (maximum: number) => ({ code: 'invalidAuthor', message: `author must have 1 to ${maximum} characters` }),
  invalidExpectedRevision: () => ({ code: 'invalidExpectedRevision', message: 'expectedRevision must be a whole number, 0 when there are no tables' }),
  storedValue: (detail: string) => ({ code: 'storedValue', message: `the stored tables cannot be decoded: ${detail}` })
} as const satisfies Record<string, (...values: never[]) => TableProblem>

/** Reasons why a change was not applied, or why its outcome is unknown. */
export const APPLY_REASONS = {
  conflictUnreadable: (expectedRevision: number, detail: string) =>
    `revision ${expectedRevision} is no longer current, and the current one could not be read: ${detail}`,
  replaced: (currentRevision: number, currentAuthor: string) =>
    `the reply of the store was lost, and revision ${currentRevision} of author ${formatCell(currentAuthor)} is now current; ` +
    'whether this change was in force before it is not known'
} as const
