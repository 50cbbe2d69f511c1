import test from 'ava'
import { AdviceCache } from '../src/advice-cache.js'

const STEP = 'aa.0.0'

function createBook (): AdviceCache {
  const book = new AdviceCache()
  book.markAsking(STEP)
  book.recordAnswer(STEP, ['t0', 't1', 't2'], [{ targetId: 't0', ticket: 'x' }, { targetId: 't1', ticket: 'y' }], 2_000)
  return book
}

test('which targets are permitted stays known when their tickets have expired', (t) => {
  const book = createBook()
  t.deepEqual(book.listTicketed(STEP, 100), ['t0', 't1'])
  t.deepEqual(book.listTicketed(STEP, 1_900), [])
  t.deepEqual(book.listPermitted(STEP), ['t0', 't1'])
  t.is(book.findTicket(STEP, 't0', 100), 'x')
  t.is(book.findTicket(STEP, 't0', 1_900), undefined)
})

test('a refused ticket is not used again, and the target stays permitted', (t) => {
  const book = createBook()
  book.expireTicket(STEP, 't0')
  t.deepEqual(book.listTicketed(STEP, 100), ['t1'])
  t.true(book.isPermitted(STEP, 't0'))
})

test('targets that were not asked about are told apart from those that are not permitted', (t) => {
  t.deepEqual(createBook().listUnasked(STEP, ['t1', 't2', 't3']), ['t3'])
  t.deepEqual(new AdviceCache().listUnasked(STEP, ['t1']), ['t1'])
})

test('a step waits while it is asked about, and for a while after a failure', (t) => {
  const book = new AdviceCache()
  t.false(book.isWaiting(STEP, 0))
  book.markAsking(STEP)
  t.true(book.isWaiting(STEP, 0))
  book.recordFailure(STEP, 300)
  t.deepEqual([book.isWaiting(STEP, 299), book.isWaiting(STEP, 300), book.hasAnswer(STEP)], [true, false, false])
})

test('whether others are worth a question is checked again after a while', (t) => {
  const book = createBook()
  t.true(book.shouldCheckExtension(STEP, 0))
  book.pauseExtensionChecks(STEP, 200)
  t.deepEqual([book.shouldCheckExtension(STEP, 199), book.shouldCheckExtension(STEP, 200)], [false, true])
})
