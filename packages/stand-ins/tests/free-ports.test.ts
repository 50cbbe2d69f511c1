import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import test from 'ava'
import { findFreePorts } from '../src/free-ports.js'

const MODULE = new URL('../src/free-ports.js', import.meta.url).href
const SCRIPT = `import { findFreePorts } from '${MODULE}'
console.log(JSON.stringify(await findFreePorts(40, 2)))
setTimeout(() => {}, 1_000)`

// Guards against assigning a port again that its process does not listen on yet. Two instances of a test cluster got the same port that
// way (seed 133 of the fault soak).
test('does not assign a port twice before a process listens on it', async (t) => {
  const firstPorts: number[] = []
  for (let cell = 0; cell < 30; cell++) firstPorts.push(...await findFreePorts(3, 2))
  const ports = firstPorts.flatMap((first) => [first, first + 1])
  t.is(new Set(ports).size, 180)
})

test('assigns different ports to concurrent processes', async (t) => {
  const run = promisify(execFile)
  const outputs = await Promise.all([1, 2, 3, 4].map(async () => await run(process.execPath, ['--input-type=module', '--eval', SCRIPT])))
  const ports = outputs.flatMap(({ stdout }) => (JSON.parse(stdout) as number[]).flatMap((first) => [first, first + 1]))
  t.is(new Set(ports).size, 320)
})
