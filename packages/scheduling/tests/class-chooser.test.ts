import test from 'ava'
import { type ClassCandidate, chooseClass } from '../src/class-chooser.js'
import type { Urgency } from '../src/urgency.js'
import { buildClassPolicy } from './fixtures.js'

function buildCandidate (urgency: Urgency, sharePercent: number, floorPercent = 0, limitPercent = 100): ClassCandidate {
  return { urgency, share: sharePercent / 100, policy: buildClassPolicy({ floorPercent, limitPercent }) }
}

const CASES: ReadonlyArray<readonly [string, readonly ClassCandidate[], Urgency | undefined]> = [
  ['no class has queued items', [], undefined],
  ['the most urgent class goes first when no class is under its floor', [buildCandidate('low', 0), buildCandidate('high', 90)], 'high'],
  ['a class under its floor goes before urgent work', [buildCandidate('urgent', 90), buildCandidate('low', 2, 5)], 'low'],
  ['the largest deficit goes first', [buildCandidate('high', 20, 25), buildCandidate('low', 0, 10)], 'low'],
  ['a class at its limit is skipped', [buildCandidate('urgent', 80, 0, 80), buildCandidate('normal', 10)], 'normal'],
  ['a class that uses all capacity is not skipped at a limit of 100 %, so that it can still get a reservation', [buildCandidate('high', 100)], 'high'],
  ['all classes are at their limits', [buildCandidate('low', 50, 0, 50)], undefined]
]

for (const [name, candidates, expected] of CASES) {
  test(`class choice: ${name}`, (t) => { t.is(chooseClass(candidates)?.urgency, expected) })
}
