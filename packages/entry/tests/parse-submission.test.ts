import test from 'ava'
import { parseSubmission } from '../src/parse-submission.js'

const BODY = { kind: 'post', customer: 'umoja', payload: null }

function createNested (levels: number): unknown {
  let value: unknown = 1
  for (let level = 0; level < levels; level++) value = level % 2 === 0 ? [value] : { a: value }
  return value
}

const INVALID: readonly (readonly [name: string, body: unknown, findings: readonly string[]])[] = [
  ['an array', [], ['body notObject']],
  ['a string', 'x', ['body notObject']],
  ['no payload', { kind: 'post', customer: 'umoja' }, ['body.payload fieldMissing']],
  ['an empty kind', { ...BODY, kind: '' }, ['body.kind fieldInvalid']],
  ['a long kind', { ...BODY, kind: 'k'.repeat(129) }, ['body.kind fieldInvalid']],
  ['a control character', { ...BODY, customer: 'a\nb' }, ['body.customer fieldInvalid']],
  ['a lone surrogate', { ...BODY, customer: 'a\ud800' }, ['body.customer fieldInvalid']],
  ['a deadline of 0', { ...BODY, deadlineMs: 0 }, ['body.deadlineMs fieldInvalid']],
  ['a deadline as a string', { ...BODY, deadlineMs: '5' }, ['body.deadlineMs fieldInvalid']],
  ['an unknown field', { ...BODY, deadline: 5 }, ['body.deadline fieldUnknown']],
  ['the field __proto__', JSON.parse('{"kind":"a","customer":"b","payload":1,"__proto__":{}}'), ['body.__proto__ fieldUnknown']],
  ['101 levels', { ...BODY, payload: createNested(101) }, ['body.payload nestingTooDeep']],
  ['100,000 levels', { ...BODY, payload: createNested(100_000) }, ['body.payload nestingTooDeep']]
]

for (const [name, body, expected] of INVALID) {
  test(`rejected body: ${name}`, (t) => {
    const result = parseSubmission({ body, query: {}, headers: {}, idempotencyKeyCount: 0 })
    t.deepEqual(result.err ? result.val.map(({ place, code }) => `${place} ${code}`) : [], expected)
  })
}

const VALID: readonly (readonly [body: object, query: Record<string, unknown>, isWaiting: boolean, waitMs: number | undefined])[] = [
  [BODY, {}, true, undefined],
  [{ ...BODY, payload: createNested(100) }, { wait: '86400000' }, true, 86_400_000],
  [{ ...BODY, team: 'dues', deadlineMs: 1, kind: '対帳 ☕' }, { wait: '0' }, false, 0]
]

for (const [index, [body, query, isWaiting, waitMs]] of VALID.entries()) {
  test(`accepted body: valid case ${index}`, (t) => {
    const result = parseSubmission({ body, query, headers: { 'idempotency-key': 'k, 1' }, idempotencyKeyCount: 1 })
    if (result.err) return t.fail(JSON.stringify(result.val))
    t.deepEqual(result.val, {
      submission: { team: '', deadlineMs: undefined, ...body, idempotencyKey: 'k, 1', isWaiting } as never, waitMs
    })
  })
}
