/** Error codes and messages of the HTTP API, documented in docs/api.md. */
export const API_ERRORS = {
  notFound: { status: 404, code: 'notFound', message: 'there is nothing at this path' },
  methodNotAllowed: { status: 405, code: 'methodNotAllowed', message: 'this path does not support the method; see the header Allow' },
  requestAbsent: { status: 404, code: 'requestAbsent', message: 'no instance knows this request' },
  notWaiting: { status: 404, code: 'notWaiting', message: 'the request does not wait in a queue' },
  keyConflict: { status: 409, code: 'keyConflict', message: 'the Idempotency-Key was used with another body' },
  bodyTooLarge: { status: 413, code: 'bodyTooLarge', message: 'the body is over the limit' },
  unsupportedEncoding: { status: 415, code: 'unsupportedEncoding', message: 'the body must be JSON in UTF-8 without content encoding' },
  expectationFailed: { status: 417, code: 'expectationFailed', message: 'the header Expect is not supported' },
  headersTooLarge: { status: 431, code: 'headersTooLarge', message: 'the headers are over the limit' },
  requestTimeout: { status: 408, code: 'requestTimeout', message: 'the request did not arrive in time' },
  malformedHttp: { status: 400, code: 'malformedHttp', message: 'the bytes received are not an HTTP request' },
  noTables: { status: 503, code: 'noTables', message: 'no tables have arrived on this instance yet' },
  homeUnavailable: { status: 503, code: 'homeUnavailable', message: 'the instance that keeps the request can\'t be asked now' },
  notApplied: { status: 503, code: 'notApplied', message: 'the change was not accepted, because the store could not be used' },
  editUnknown: { status: 504, code: 'editUnknown', message: 'it is not known whether the change was accepted; read the tables before trying again' },
  internal: { status: 500, code: 'internal', message: 'the instance failed to handle the request' }
} as const satisfies Readonly<Record<string, { status: number, code: string, message: string }>>

export type ApiErrorName = keyof typeof API_ERRORS

/** Codes and messages of the findings about invalid HTTP requests. */
export const API_FINDINGS = {
  notJson: { code: 'notJson', message: 'is not JSON' },
  bodyIncomplete: { code: 'bodyIncomplete', message: 'ended before its announced length' },
  notObject: { code: 'notObject', message: 'must be a JSON object' },
  missing: { code: 'fieldMissing', message: 'is required' },
  unknownField: { code: 'fieldUnknown', message: 'is not a field of this request' },
  wrongValue: { code: 'fieldInvalid' },
  nestingTooDeep: { code: 'nestingTooDeep', message: 'has more than 100 levels of arrays and objects' },
  idempotencyKey: { code: 'keyInvalid', message: 'must be given once, with 1 to 255 printable ASCII characters' },
  wait: { code: 'waitInvalid', message: 'must be a whole number of milliseconds from 0 to 86400000' },
  requestId: { code: 'requestIdInvalid', message: 'must be a request id such as 0a-5f3c' },
  pathEncoding: { code: 'pathInvalid', message: 'is not percent-encoded UTF-8' }
} as const

/** Reasons of the outcomes that the HTTP API itself decides. */
export const OUTCOME_REASONS = {
  draining: 'this instance is stopping and takes no new requests',
  noTables: 'no tables have arrived on this instance yet',
  waitElapsed: 'the wait ended before the outcome was known; ask again with the same Idempotency-Key',
  internalError: 'the instance failed while handling the request; ask again with the same Idempotency-Key'
} as const

export const READINESS_REASONS = { draining: 'draining', noTables: 'noTables', starting: 'starting' } as const
