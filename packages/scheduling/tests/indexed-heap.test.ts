import test from 'ava'
import fc from 'fast-check'
import { IndexedHeap } from '../src/indexed-heap.js'

test('entries are listed and removed in order after arbitrary entries were removed', (t) => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 50 })), fc.array(fc.nat(100)), (values, removals) => {
    const heap = new IndexedHeap<{ value: number }>((left, right) => left.value - right.value)
    const entries = values.map((value) => ({ value }))
    for (const entry of entries) heap.insert(entry)
    for (const index of removals) {
      const [entry] = entries.splice(index, 1)
      if (entry !== undefined) heap.remove(entry)
    }
    const expected = entries.map((entry) => entry.value).sort((left, right) => left - right)
    const listed = heap.listFirst(expected.length + 1).map((entry) => entry.value)
    const popped: number[] = []
    for (let first = heap.getFirst(); first !== undefined; first = heap.getFirst()) {
      popped.push(first.value)
      heap.remove(first)
    }
    return popped.join() === expected.join() && listed.join() === expected.join()
  }), { seed: 3, numRuns: 300 })
  t.pass()
})
