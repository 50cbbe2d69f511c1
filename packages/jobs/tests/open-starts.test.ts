import test from 'ava'
import { createSessionFixture, EARLIER } from './session-fixture.js'

const OPEN_STARTS = 24

// Guards against starts that wait for a connection until they count as not sent, and against polls that wait behind them, so that the
// lease of the target lapses: the tasks of one step that request nothing were all started on one target at once.
test('of very many starts on a target a few are open at a time, and the others follow as answers arrive', async (t) => {
  const { gateway, outcomes, session, start } = await createSessionFixture()
  const runs = Array.from({ length: 60 }, (_, index) => start(index + 1))
  t.is(gateway.starts.length, OPEN_STARTS)
  for (const call of gateway.starts.slice(0, 10)) await call.answer({ targetClockMs: EARLIER.targetClockMs + 20 })
  await gateway.starts[0]?.refuse('invalidTicket')
  t.deepEqual(runs.map(({ phase }) => phase).filter((phase) => phase === 'running').length, 10)
  const [waiting] = runs.slice(-1)
  if (waiting !== undefined) session.requestStop(waiting)
  while (gateway.starts.length > 0) await gateway.starts[0]?.answer({ targetClockMs: EARLIER.targetClockMs + 40 })
  t.is(outcomes.get(60), 'notStarted')
  t.is(runs.filter(({ phase }) => phase === 'running').length, 58)
  t.is([...outcomes].filter(([, outcome]) => outcome === 'notStarted').length, 2)
})

// Guards against tasks that wait for a target that doesn't answer: the starts behind those without an answer were sent one after another.
test('the starts that wait are given up when one gets no answer', async (t) => {
  const { gateway, outcomes, start } = await createSessionFixture()
  for (let number = 1; number <= 60; number++) start(number)
  await gateway.starts[0]?.lose()
  t.is([...outcomes].filter(([, outcome]) => outcome === 'notStarted').length, 60 - OPEN_STARTS)
  t.is(gateway.starts.length, OPEN_STARTS - 1)
})
