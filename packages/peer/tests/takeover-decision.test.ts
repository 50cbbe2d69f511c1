import { toIncarnation, toInstanceId } from '@hibiscusledge/runtime/identifiers.js'
import test from 'ava'
import { DEFAULT_PEER_TIMINGS } from '../src/peer-timings.js'
import { computeOwnerRelation, decideTakeover, type TakeoverDecision, type TakeoverConditions } from '../src/takeover-decision.js'

const member = (name: string, run: string, address = `${name}:1`): { instance: ReturnType<typeof toInstanceId>, incarnation: ReturnType<typeof toIncarnation>, address: string } =>
  ({ instance: toInstanceId(name), incarnation: toIncarnation(run), address })
const VIEW = { incarnation: toIncarnation('o1'), registration: 1, address: 'o:1', members: [member('o', 'o1'), member('m', 'm1')], nonce: '' }

test('the relation to an owner follows from its view, the incarnations and the addresses', (t) => {
  const cases = [
    ['a member of the view', member('m', 'm1'), true, 'member'],
    ['a restarted member on its address', member('m', 'm2'), true, 'restartedMember'],
    ['a member restarted at another address, whose earlier process may still give promises', member('m', 'm2', 'x:1'), true, 'nonMember'],
    ['a restarted member whose address is not exclusive', member('m', 'm2'), false, 'nonMember'],
    ['the restarted owner on its address', member('o', 'o2'), true, 'restartedOwner'],
    ['the owner restarted at another address, whose earlier process may still act', member('o', 'o2', 'x:1'), true, 'nonMember'],
    ['an instance outside the view', member('n', 'n1'), true, 'nonMember']
  ] as const
  for (const [title, self, isExclusive, expected] of cases) t.is(computeOwnerRelation(self, isExclusive, toInstanceId('o'), VIEW), expected, title)
  t.is(computeOwnerRelation(member('m', 'm1'), true, toInstanceId('o'), undefined), 'nonMember')
})

test('a takeover waits for the absence threshold, the denial and the expiry of promises, or for the limit of promise authority', (t) => {
  const conditions: TakeoverConditions = { nowMs: 100_000, relation: 'member', absentSinceMs: 90_000, isDenied: true, lastPromiseMs: 97_500, listeningSinceMs: 0 }
  const cases: [string, Partial<TakeoverConditions>, TakeoverDecision][] = [
    ['all conditions hold', {}, 'take'],
    ['absent for less than 1 s', { absentSinceMs: 99_001 }, 'wait'],
    ['not denied yet', { isDenied: false }, 'deny'],
    ['the last promise has not expired with its margin', { lastPromiseMs: 97_501 }, 'wait'],
    ['never promised', { lastPromiseMs: Number.NEGATIVE_INFINITY }, 'take'],
    ['a restarted member counts its start as a promise', { relation: 'restartedMember', listeningSinceMs: 97_501 }, 'wait'],
    ['a restarted member whose start has expired as a promise', { relation: 'restartedMember', listeningSinceMs: 97_500 }, 'take'],
    ['a restarted owner', { relation: 'restartedOwner', absentSinceMs: 100_000, isDenied: false }, 'take'],
    ['a non-member before the limit', { relation: 'nonMember', nowMs: 691_999 }, 'wait'],
    ['a non-member at the limit', { relation: 'nonMember', nowMs: 692_000 }, 'take']
  ]
  for (const [title, change, expected] of cases) t.is(decideTakeover({ ...conditions, ...change }, DEFAULT_PEER_TIMINGS), expected, title)
})
