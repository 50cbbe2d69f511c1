import test from 'ava'
import fc from 'fast-check'
import { rankCandidates } from '../src/rendezvous-hash.js'

const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), { minLength: 2, maxLength: 8 })

test('the ranking does not depend on the order of the candidates, and a candidate that leaves moves only its own keys', (t) => {
  fc.assert(fc.property(names, fc.string(), (candidates, key) => {
    const ranked = rankCandidates(candidates, key)
    const [leaving, ...others] = candidates
    t.deepEqual(rankCandidates([...candidates].reverse(), key), ranked)
    t.deepEqual(rankCandidates(others, key), ranked.filter((name) => name !== leaving))
  }), { seed: 11, numRuns: 200 })
})

test('keys are spread evenly over the candidates', (t) => {
  const counts = new Map<string, number>()
  for (let index = 0; index < 6_000; index++) {
    const [first = ''] = rankCandidates(['a', 'b', 'c', 'd', 'e', 'f'], `key-${index}`)
    counts.set(first, (counts.get(first) ?? 0) + 1)
  }
  for (const count of counts.values()) t.true(count > 850 && count < 1_150, `${count}`)
})
