import test from 'ava'
import { spawn, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { sendHttp, waitUntil } from './http-exchange.js'

const PROGRAM = fileURLToPath(new URL('../src/hibiscusledge.js', import.meta.url))
const FLAGS = [
  '--instance-id', 'entry-a', '--failure-domain', 'nairobi-a', '--store-endpoints', 'http://127.0.0.1:1',
  '--instance-list-url', 'http://127.0.0.1:1/', '--api-host', '127.0.0.1', '--api-port', '0', '--peer-host', '127.0.0.1',
  '--peer-port', '0', '--drain-grace-ms', '100'
]

interface ProgramRun {
  readonly child: ChildProcess
  readonly output: { stdout: string, stderr: string }
  readonly ended: Promise<number | null>
}

function startProgram (flags: readonly string[]): ProgramRun {
  const child = spawn(process.execPath, ['--no-warnings', PROGRAM, ...flags], { env: {}, stdio: ['ignore', 'pipe', 'pipe'] })
  const output = { stdout: '', stderr: '' }
  child.stdout.on('data', (chunk: Buffer) => { output.stdout += chunk.toString() })
  child.stderr.on('data', (chunk: Buffer) => { output.stderr += chunk.toString() })
  return { child, output, ended: new Promise((resolve) => { child.on('close', (code) => resolve(code)) }) }
}

test('invalid settings print all findings and exit with 2', async (t) => {
  const { output, ended } = startProgram(['--api-port', 'x', '--check-settings'])
  t.is(await ended, 2)
  t.is(output.stderr.trim().split('\n').length, 5)
})

test('--check-settings with valid settings exits with 0', async (t) => {
  const { output, ended } = startProgram([...FLAGS, '--check-settings'])
  t.is(await ended, 0)
  t.is(output.stdout, 'settings are valid\n')
})

test('the program serves requests until SIGTERM, then exits with 0', async (t) => {
  const { child, output, ended } = startProgram(FLAGS)
  await waitUntil(() => output.stdout.includes('"event":"api.listening"'))
  const port = Number(/"port":(\d+)/.exec(output.stdout)?.[1])
  t.is((await sendHttp(port, 'GET', '/healthz')).status, 200)
  child.kill('SIGTERM')
  t.is(await ended, 0)
  t.true(output.stdout.includes('"event":"drain.finished"'))
  t.is(output.stderr, '')
})
