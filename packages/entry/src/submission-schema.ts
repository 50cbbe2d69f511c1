import { z } from 'zod'

export const MAX_DEADLINE_MS = 604_800_000
export const MAX_NAME_LENGTH = 128

// \P{C} excludes control characters, and lone surrogates, which can't be encoded in UTF-8 and would reach the target changed.
const NAME_PATTERN = /^\P{C}{1,128}$/u
const NAME_MESSAGE = `must be a string of 1 to ${MAX_NAME_LENGTH} characters without control characters`

/** Schema of a name in a request: kind, customer, team or author. */
export const nameSchema = z.string(NAME_MESSAGE).regex(NAME_PATTERN, NAME_MESSAGE)

const DEADLINE_MESSAGE = `must be a whole number of milliseconds from 1 to ${MAX_DEADLINE_MS}`

/** Schema of the body of `POST /v1/requests`. */
export const submissionSchema = z.strictObject({
  kind: nameSchema,
  customer: nameSchema,
  team: nameSchema.optional(),
  deadlineMs: z.number(DEADLINE_MESSAGE).int(DEADLINE_MESSAGE).min(1, DEADLINE_MESSAGE).max(MAX_DEADLINE_MS, DEADLINE_MESSAGE).optional(),
  payload: z.unknown()
})
