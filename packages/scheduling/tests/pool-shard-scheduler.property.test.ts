import test from 'ava'
import fc from 'fast-check'
import { RandomSession, stepArbitrary } from './random-session.js'

const steps = fc.array(stepArbitrary, { minLength: 20, maxLength: 200 })

test('no target is overcommitted, gangs are whole, and every admitted item ends exactly once', (t) => {
  fc.assert(fc.property(steps, (list) => {
    const session = new RandomSession()
    session.run(list)
    session.finish()
  }), { seed: 1, numRuns: 400 })
  t.pass()
})

test('the same calls give the same decisions', (t) => {
  fc.assert(fc.property(steps, (list) => {
    const first = new RandomSession()
    const second = new RandomSession()
    first.run(list)
    second.run(list)
    return first.log.join('\n') === second.log.join('\n')
  }), { seed: 2, numRuns: 50 })
  t.pass()
})
