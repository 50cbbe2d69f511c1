import { toIncarnation, toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import test from 'ava'
import { DEFAULT_PEER_TIMINGS } from '../src/peer-timings.js'
import { computeOwnerRelation, decideTakeover, type TakeoverDecision, type TakeoverConditions } from '../src/takeover-decision.js'

const member = (name: string, run: string, address = `${name}:1`): { instance: ReturnType<typeof toInstanceId>, incarnation: ReturnType<typeof toIncarnation>, address: string } =>
  ({ instance: toInstanceId(name), incarnation: toIncarnation(run), address })
const VIEW = { incarnation: toIncarnation('o1'), registration: 1, address: 'o:1', members: [member('o', 'o1'), member('m', 'm1')], nonce: '' }

test('the standing of an instance follows from the view, incarnations and addresses', (t) => {
  const cases = [
    ['a member by incarnation', member('m', 'm1'), true, 'member'],
    ['a restarted member on its address', member('m', 'm2'), true, 'substitute'],
    ['a restarted member elsewhere, whose earlier process may still promise', member('m', 'm2', 'x:1'), true, 'outsider'],
    ['a restarted member whose address proves nothing', member('m', 'm2'), false, 'outsider'],
    ['the restarted owner on its address', member('o', 'o2'), true, 'successor'],
    ['the owner replaced elsewhere, while its earlier process may still act', member('o', 'o2', 'x:1'), true, 'outsider'],
    ['a stranger', member('n', 'n1'), true, 'outsider']
  ] as const
  for (const [title, self, isExclusive, expected] of cases) t.is(computeOwnerRelation(self, isExclusive, toInstanceId('o'), VIEW), expected, title)
  t.is(computeOwnerRelation(member('m', 'm1'), true, toInstanceId('o'), undefined), 'outsider')
})

test('a takeover waits for the absence, the denial, the expiry of promises, or the limit of promise authority', (t) => {
  const facts: TakeoverConditions = { nowMs: 100_000, relation: 'member', absentSinceMs: 90_000, isDenied: true, lastPromiseMs: 97_500, listeningSinceMs: 0 }
  const cases: [string, Partial<TakeoverConditions>, TakeoverDecision][] = [
    ['all conditions hold', {}, 'take'],
    ['absent for less than 1 s', { absentSinceMs: 99_001 }, 'wait'],
    ['not denied yet', { isDenied: false }, 'deny'],
    ['the last promise has not expired with its margin', { lastPromiseMs: 97_501 }, 'wait'],
    ['never promised', { lastPromiseMs: Number.NEGATIVE_INFINITY }, 'take'],
    ['a substitute counts its start as a promise', { relation: 'substitute', listeningSinceMs: 97_501 }, 'wait'],
    ['a substitute after that time', { relation: 'substitute', listeningSinceMs: 97_500 }, 'take'],
    ['a successor', { relation: 'successor', absentSinceMs: 100_000, isDenied: false }, 'take'],
    ['an outsider before the limit', { relation: 'outsider', nowMs: 691_999 }, 'wait'],
    ['an outsider at the limit', { relation: 'outsider', nowMs: 692_000 }, 'take']
  ]
  for (const [title, change, expected] of cases) t.is(decideTakeover({ ...facts, ...change }, DEFAULT_PEER_TIMINGS), expected, title)
})
