import { renameSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

// Preloaded into the processes of a cell by HeapMeter: on SIGUSR2 it runs a full garbage collection and writes the process's
// memory usage. The rename makes the file appear only when it is complete.
const directory = process.env['HEAP_PROBE_DIRECTORY']
if (directory !== undefined) {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  process.on('SIGUSR2', () => {
    collectGarbage()
    const file = join(directory, `${process.pid}.json`)
    writeFileSync(`${file}.part`, JSON.stringify(process.memoryUsage()))
    renameSync(`${file}.part`, file)
  })
}
