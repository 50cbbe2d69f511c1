import test from 'ava'
import fc from 'fast-check'
import { Packr } from 'msgpackr'
import { decodeFrame, encodeFrame, MAX_FRAME_BYTES, PROTOCOL_VERSION } from '../src/peer-frame.js'

const SEED = 20261204
const packr = new Packr({ useRecords: false })

/** Decodes the bytes and returns `frame` or the error code. An exception would end the process. */
function decode (bytes: Uint8Array): string {
  const decoded = decodeFrame(bytes)
  return decoded.ok ? 'frame' : decoded.val.code
}

test('random bytes decode to a frame or a typed error and never throw', (t) => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => ['frame', 'malformed'].includes(decode(bytes))), { seed: SEED, numRuns: 2000 })
  t.pass()
})

test('a truncated frame is always malformed', (t) => {
  const body = fc.jsonValue()
  fc.assert(fc.property(body, fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }), (value, part) => {
    const encoded = encodeFrame({ kind: 'submit', id: 1, body: value })
    return encoded.ok && decode(encoded.val.subarray(0, Math.floor(encoded.val.length * part))) === 'malformed'
  }), { seed: SEED, numRuns: 1000 })
  t.pass()
})

test('a body survives encoding and decoding unchanged', (t) => {
  fc.assert(fc.property(fc.jsonValue(), fc.nat(), (body, id) => {
    const encoded = encodeFrame({ kind: 'submit', id, body })
    const decoded = encoded.ok ? decodeFrame(encoded.val) : undefined
    return decoded?.ok === true && decoded.val.id === id && JSON.stringify(decoded.val.body) === JSON.stringify(body)
  }), { seed: SEED, numRuns: 1000 })
  t.pass()
})

const INVALID: ReadonlyArray<{ title: string, value: unknown }> = [
  { title: 'not an object', value: 'hello' },
  { title: 'an unknown version', value: { v: PROTOCOL_VERSION + 1, kind: 'hello', body: 1 } },
  { title: 'a missing kind', value: { v: PROTOCOL_VERSION, body: 1 } },
  { title: 'a kind that is too long', value: { v: PROTOCOL_VERSION, kind: 'k'.repeat(65), body: 1 } },
  { title: 'a negative identifier', value: { v: PROTOCOL_VERSION, kind: 'hello', id: -1, body: 1 } },
  { title: 'an identifier of another type', value: { v: PROTOCOL_VERSION, kind: 'hello', replyTo: '1', body: 1 } },
  { title: 'an unknown error code', value: { v: PROTOCOL_VERSION, kind: 'hello', error: { code: 'other', message: '' }, body: 1 } }
]

for (const { title, value } of INVALID) {
  test(`a frame with ${title} is malformed`, (t) => {
    t.is(decode(packr.pack(value)), 'malformed')
  })
}

test('unknown fields are ignored, so that newer instances can add fields', (t) => {
  t.is(decode(packr.pack({ v: PROTOCOL_VERSION, kind: 'hello', added: true, body: 1 })), 'frame')
})

test('a frame over the size limit is refused when encoding and when decoding', (t) => {
  const encoded = encodeFrame({ kind: 'submit', body: 'x'.repeat(MAX_FRAME_BYTES) })
  t.is(encoded.ok ? 'frame' : encoded.val.code, 'tooLarge')
  t.is(decode(new Uint8Array(MAX_FRAME_BYTES + 1)), 'tooLarge')
})
