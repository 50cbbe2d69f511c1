import test from 'ava'
import { parseSettings } from '../src/parse-settings.js'

const REQUIRED_FLAGS = [
  '--instance-id', 'entry-a', '--failure-domain', 'nairobi-a', '--store-endpoints', 'http://10.0.0.1:2379,http://10.0.0.2:2379',
  '--instance-list-url', 'http://10.0.0.9/targets'
]

/** Flags are added to the required ones; findings are written as `place code`, in order. */
const INVALID: readonly (readonly [flags: readonly string[], environment: Record<string, string>, findings: readonly string[]])[] = [
  [['--api-port', '65536'], {}, ['--api-port settingInvalid']],
  [['--api-port', '1.5'], {}, ['--api-port settingInvalid']],
  [['--api-port'], {}, ['--api-port settingWithoutValue']],
  [['--no-statsd'], {}, ['--statsd settingWithoutValue']],
  [['--log-level', 'loud'], {}, ['--log-level settingInvalid']],
  [['--statsd', '127.0.0.1'], {}, ['--statsd settingInvalid']],
  [['--peers', '10.0.0.1:81,10.0.0.2'], {}, ['--peers settingInvalid']],
  [['--peer-advertise', '10.0.0.1:0'], {}, ['--peer-advertise settingInvalid']],
  [['--drain-timeout-ms', '5', '--drain-timeout-ms', '6'], {}, ['--drain-timeout-ms settingRepeated']],
  [['--api-prot', '80'], {}, ['--api-prot settingUnknown']],
  [['serve'], {}, ['serve argumentUnexpected']],
  [['--max-body-bytes', '99999999'], { HIBISCUSLEDGE_STORE_READS_PER_SECOND: '0' }, [
    'HIBISCUSLEDGE_STORE_READS_PER_SECOND settingInvalid', '--max-body-bytes settingInvalid'
  ]]
]

for (const [flags, environment, expected] of INVALID) {
  test(`rejected settings: ${flags.join(' ')} ${Object.keys(environment).join(' ')}`, (t) => {
    const result = parseSettings([...REQUIRED_FLAGS, ...flags], environment)
    t.true(result.err)
    t.deepEqual(result.err ? result.val.map(({ place, code }) => `${place} ${code}`) : [], expected)
  })
}

test('all missing settings are reported together', (t) => {
  const result = parseSettings([], {})
  t.deepEqual(result.err ? result.val.map(({ place }) => place) : [], [
    '--instance-id', '--failure-domain', '--store-endpoints', '--instance-list-url'
  ])
})

test('a name that the argument parser would normalize as a number is rejected', (t) => {
  t.true(parseSettings([...REQUIRED_FLAGS.slice(2), '--instance-id', '007'], {}).err)
})

test('flags override environment variables, variables override defaults, and an empty variable counts as unset', (t) => {
  const result = parseSettings([...REQUIRED_FLAGS, '--api-port', '1', '--peers=[::1]:5,b:6'], {
    HIBISCUSLEDGE_API_PORT: '2', HIBISCUSLEDGE_PEER_PORT: '3', HIBISCUSLEDGE_STATSD: '', HIBISCUSLEDGE_LOG_LEVEL: ''
  })
  if (result.err || result.val.type !== 'run') return t.fail(JSON.stringify(result.val))
  t.like(result.val.settings, {
    apiPort: 1,
    peerPort: 3,
    statsd: undefined,
    logLevel: 'info',
    peers: [{ host: '::1', port: 5 }, { host: 'b', port: 6 }],
    storeWritesPerSecond: 300,
    maxBodyBytes: 262_144,
    outcomeRetentionMs: 86_400_000,
    storeEndpoints: ['http://10.0.0.1:2379', 'http://10.0.0.2:2379']
  })
})

test('--check-settings and --help don\'t start an instance', (t) => {
  const check = parseSettings([...REQUIRED_FLAGS, '--check-settings'], {})
  t.is(check.ok ? check.val.type : undefined, 'check')
  const help = parseSettings(['--help'], {})
  t.regex(help.ok && help.val.type === 'help' ? help.val.text : '', /--store-writes-per-second <value> .*default 300/)
})
