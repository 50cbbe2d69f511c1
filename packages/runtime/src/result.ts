import tsResults, { type Result } from 'ts-results'

// ts-results is a CommonJS module whose exports Node.js cannot name.
export const { Err, Ok } = tsResults
export type { Result }
