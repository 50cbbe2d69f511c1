import tsResults, { type Result } from 'ts-results'

// ts-results is a CommonJS module whose named exports Node.js can't detect.
export const { Err, Ok } = tsResults
export type { Result }
