import test from 'ava'
import fc from 'fast-check'
import { SchedulerInvariantChecker, stepArbitrary } from './scheduler-invariant-checker.js'

const steps = fc.array(stepArbitrary, { minLength: 20, maxLength: 200 })

test('no target is overcommitted, gangs start whole, and every admitted item leaves the queue exactly once', (t) => {
  fc.assert(fc.property(steps, (list) => {
    const checker = new SchedulerInvariantChecker()
    checker.run(list)
    checker.finish()
  }), { seed: 1, numRuns: 400 })
  t.pass()
})

test('the same sequence of calls gives the same decisions', (t) => {
  fc.assert(fc.property(steps, (list) => {
    const first = new SchedulerInvariantChecker()
    const second = new SchedulerInvariantChecker()
    first.run(list)
    second.run(list)
    return first.decisionLog.join('\n') === second.decisionLog.join('\n')
  }), { seed: 2, numRuns: 50 })
  t.pass()
})
