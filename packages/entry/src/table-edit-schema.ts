import { z } from 'zod'
import { nameSchema } from './submission-schema.js'

const TEXT_MESSAGE = 'must be a string with the CSV text of the table'
const REVISION_MESSAGE = 'must be a whole number from 0'

/** Schema of the body of `PUT /v1/tables`. */
export const tableEditSchema = z.strictObject({
  routes: z.string(TEXT_MESSAGE),
  pools: z.string(TEXT_MESSAGE),
  expectedRevision: z.number(REVISION_MESSAGE).int(REVISION_MESSAGE).min(0, REVISION_MESSAGE),
  author: nameSchema
})
