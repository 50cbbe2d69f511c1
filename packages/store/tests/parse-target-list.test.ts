import test from 'ava'
import { parseTargetList } from '../src/parse-target-list.js'

type Labels = Record<string, unknown>

function createWorker (labels: Labels = {}, targets: unknown = ['10.0.0.1:7000']): unknown {
  const defaults = { id: 'w1', kind: 'worker', state: 'live', failure_domain: 'nairobi-a', rack: 'r1', cores: '16', memory_mb: '65536' }
  return { targets, labels: { ...defaults, ...labels } }
}

function createExecutor (labels: Labels = {}, targets: unknown = ['10.0.0.2:7000']): unknown {
  const defaults = { id: 'e1', kind: 'executor', state: 'leaving', failure_domain: 'nairobi-b', slots: '8', connections: '64' }
  return { targets, labels: { ...defaults, ...labels } }
}

test('valid entries keep their other labels, and optional numbers default to 0', (t) => {
  const { targets, findings } = parseTargetList([createWorker({ accelerators: '2', disk: 'ssd' }), createExecutor()]).unwrap()
  t.deepEqual(findings, [])
  t.deepEqual(targets, [
    {
      id: 'w1',
      kind: 'worker',
      address: '10.0.0.1:7000',
      state: 'live',
      failureDomain: 'nairobi-a',
      rack: 'r1',
      cores: 16,
      memoryMb: 65536,
      accelerators: 2,
      slots: 0,
      connections: 0,
      labels: { disk: 'ssd' }
    },
    {
      id: 'e1',
      kind: 'executor',
      address: '10.0.0.2:7000',
      state: 'leaving',
      failureDomain: 'nairobi-b',
      rack: '',
      cores: 0,
      memoryMb: 0,
      accelerators: 0,
      slots: 8,
      connections: 64,
      labels: {}
    }
  ])
})

const VALID: ReadonlyArray<readonly [string, unknown]> = [
  ['IPv6 address', createWorker({}, ['[fd00::1]:7000'])],
  ['leading zeros', createWorker({ cores: '016' })],
  ['empty rack', createWorker({ rack: '' })],
  ['highest port', createWorker({}, ['10.0.0.1:65535'])]
]
for (const [name, entry] of VALID) {
  test(`a valid entry is accepted: ${name}`, (t) => {
    const listing = parseTargetList([entry]).unwrap()
    t.deepEqual(listing.findings, [])
    t.is(listing.targets.length, 1)
  })
}

const INVALID: ReadonlyArray<readonly [string, unknown, string]> = [
  ['cores of 0', createWorker({ cores: '0' }), 'instances[1].labels.cores'],
  ['negative cores', createWorker({ cores: '-1' }), 'instances[1].labels.cores'],
  ['a fraction', createWorker({ memory_mb: '1.5' }), 'instances[1].labels.memory_mb'],
  ['an exponent', createWorker({ memory_mb: '1e3' }), 'instances[1].labels.memory_mb'],
  ['a number instead of a string', createWorker({ cores: 16 }), 'instances[1].labels.cores'],
  ['missing memory', createWorker({ memory_mb: undefined }), 'instances[1].labels.memory_mb'],
  ['an executor without slots', createExecutor({ id: 'e2', slots: undefined }), 'instances[1].labels.slots'],
  ['an unknown kind', createWorker({ kind: 'printer' }), 'instances[1].labels.kind'],
  ['an unknown state', createWorker({ state: 'gone' }), 'instances[1].labels.state'],
  ['an empty id', createWorker({ id: '' }), 'instances[1].labels.id'],
  ['no failure domain', createWorker({ failure_domain: undefined }), 'instances[1].labels.failure_domain'],
  ['a host name', createWorker({}, ['worker.example:7000']), 'instances[1].targets[0]'],
  ['an address part over 255', createWorker({}, ['10.0.0.256:7000']), 'instances[1].targets[0]'],
  ['port 0', createWorker({}, ['10.0.0.1:0']), 'instances[1].targets[0]'],
  ['port over 65535', createWorker({}, ['10.0.0.1:65536']), 'instances[1].targets[0]'],
  ['two addresses', createWorker({}, ['10.0.0.1:7000', '10.0.0.1:7001']), 'instances[1].targets'],
  ['no address', createWorker({}, []), 'instances[1].targets'],
  ['no labels', { targets: ['10.0.0.1:7000'] }, 'instances[1].labels'],
  ['an entry that is not an object', 'text', 'instances[1]'],
  ['the id of another entry', createExecutor({}, ['10.0.0.9:7000']), 'instances[1].labels.id'],
  ['the address of another entry', createExecutor({ id: 'e2' }), 'instances[1].targets[0]']
]
for (const [name, entry, place] of INVALID) {
  test(`an invalid entry is reported and does not drop the valid ones: ${name}`, (t) => {
    const listing = parseTargetList([createExecutor(), entry, createExecutor({ id: 'e3' }, ['10.0.0.3:7000'])]).unwrap()
    t.deepEqual(listing.findings.map((finding) => finding.place), [place])
    t.deepEqual(listing.targets.map(({ id }) => id), ['e1', 'e3'])
  })
}

for (const document of [undefined, null, {}, 'text', 1]) {
  test(`a document that is not an array fails instead of yielding an empty list: ${String(document)}`, (t) => {
    t.true(parseTargetList(document).err)
  })
}
