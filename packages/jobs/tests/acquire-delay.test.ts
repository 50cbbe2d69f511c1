import { SeededRandomSource } from '@hibiscusledge/runtime/seeded-random-source.js'
import test from 'ava'
import { computeAcquireDelayMs } from '../src/acquire-delay.js'

const SAMPLES = 200

// Guards against a small instance that becomes the owner although larger ones are available, and then can't keep up.
test('a larger instance always tries before a smaller one', (t) => {
  const random = new SeededRandomSource(1)
  for (const [larger, smaller] of [[1.35, 0.675], [0.675, 0.324]] as const) {
    for (let draw = 0; draw < SAMPLES; draw++) t.true(computeAcquireDelayMs(larger, random) < computeAcquireDelayMs(smaller, random))
  }
})

test('instances of one size spread their attempts', (t) => {
  const random = new SeededRandomSource(1)
  const delays = Array.from({ length: SAMPLES }, () => computeAcquireDelayMs(0.675, random))
  t.true(Math.max(...delays) - Math.min(...delays) > 50)
})
